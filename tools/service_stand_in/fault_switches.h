#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace service_stand_in {

/// Faults that the stand-in injects into its next responses.
struct fault_switches {
    std::chrono::milliseconds delay_before{0};
    std::chrono::milliseconds delay_after{0};
    /// Closes the connection without executing the request, or after executing it.
    bool close_before = false;
    bool close_after = false;
    /// Never responds, without executing the request, or after executing it.
    bool silent_before = false;
    bool silent_after = false;
    /// Closes in the middle of the body.
    bool truncate = false;
    /// Sends a Content-Length shorter than the body.
    bool wrong_length = false;
    /// Responds with bytes that are not HTTP.
    bool rubbish = false;
    /// Responds with this status after executing the request.
    std::optional<unsigned> status;
    /// Number of further requests that the faults apply to; nullopt means all.
    std::optional<std::uint32_t> runs;

    /// Returns the switches for the next request and decrements `runs`.
    fault_switches take();

    /// Replaces all switches by those of a JSON object. Returns an error message and changes
    /// nothing when it is malformed.
    std::optional<std::string> replace(const nlohmann::json& change);
};

} // namespace service_stand_in
