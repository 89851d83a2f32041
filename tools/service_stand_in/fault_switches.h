#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace service_stand_in {

/// Faults that the stand-in brings about in its next answers.
struct fault_switches {
    std::chrono::milliseconds delay_before{0};
    std::chrono::milliseconds delay_after{0};
    /// Closes the connection without executing, or once it has executed.
    bool close_before = false;
    bool close_after = false;
    /// Never answers, without executing, or once it has executed.
    bool silent_before = false;
    bool silent_after = false;
    /// Closes in the middle of the body.
    bool truncate = false;
    /// Announces a body shorter than the one sent.
    bool wrong_length = false;
    /// Answers with bytes that are not HTTP.
    bool rubbish = false;
    /// Answers with this status once it has executed.
    std::optional<unsigned> status;
    /// How many requests the faults apply to; all of them when absent.
    std::optional<std::uint32_t> runs;

    /// The switches for the next request; counts `runs` down.
    fault_switches take();

    /// Replaces all switches by those of a JSON object. Returns the fault of a malformed one, which
    /// changes nothing.
    std::optional<std::string> replace(const nlohmann::json& wanted);
};

} // namespace service_stand_in
