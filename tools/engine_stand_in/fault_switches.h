#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace engine_stand_in {

/// Faults that the engine brings about until they are changed by `POST /faults`.
///
/// The body is an object; a member that is absent leaves its switch as it is, and `"reset": true`
/// clears all of them first. Members: `crash_on` (text), `crash_after` (tokens), `fail_loads`
/// (count), `load_ms`, `echo` (model name to report in place of the one that ran),
/// `truncate_after`, `clean_truncation`, `silent_after`, `duplicate_token`, `delay_token`,
/// `delay_ms`, `rubbish`, `runs` (number of runs that the stream faults apply to).
struct fault_switches {
    /// A run whose prompt contains this text ends the process; empty means none.
    std::string crash_on;
    /// Tokens sent before that end.
    std::uint32_t crash_after = 0;
    /// Loads still to fail.
    std::uint32_t fail_loads = 0;
    /// Replaces the load time of the settings.
    std::optional<std::chrono::milliseconds> load_time;
    /// Reported as the model that ran; empty means the true one.
    std::string echo;
    /// Tokens after which the connection is closed.
    std::optional<std::uint32_t> truncate_after;
    /// Whether a truncated answer still ends as complete HTTP.
    bool clean_truncation = false;
    /// Tokens after which nothing more is sent, with the connection open.
    std::optional<std::uint32_t> silent_after;
    /// Index of a token sent twice.
    std::optional<std::uint32_t> duplicate_token;
    /// Index of a token sent late, by `delay`.
    std::optional<std::uint32_t> delay_token;
    std::chrono::milliseconds delay{0};
    /// Answers completions with bytes that are neither JSON nor events.
    bool rubbish = false;
    /// Runs that the stream faults (echo to rubbish) still apply to; none means all.
    std::optional<std::uint32_t> runs;

    /// Counts one run, and returns the switches that apply to it.
    fault_switches take_run();

    /// Changes the switches that `change` names. Returns a message when a member is unknown or has
    /// the wrong type, and then changes nothing.
    std::optional<std::string> apply(const nlohmann::json& change);
};

} // namespace engine_stand_in
