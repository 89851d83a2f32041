#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace engine_stand_in {

/// Faults that the engine injects until they are changed by `POST /faults`.
///
/// The body is an object; an absent member leaves its switch unchanged, and `"reset": true` first
/// clears all of them. Members: `crash_on` (text), `crash_after` (tokens), `fail_loads`
/// (count), `load_ms`, `echo` (model name to report in place of the one that ran),
/// `truncate_after`, `clean_truncation`, `silent_after`, `duplicate_token`, `delay_token`,
/// `delay_ms`, `rubbish`, `runs` (number of runs that the stream faults apply to).
struct fault_switches {
    /// A run whose prompt contains this text crashes the process; empty means none.
    std::string crash_on;
    /// Tokens sent before the crash.
    std::uint32_t crash_after = 0;
    /// Number of further loads that fail.
    std::uint32_t fail_loads = 0;
    /// Overrides the configured load time.
    std::optional<std::chrono::milliseconds> load_time;
    /// Model name to report in place of the one that ran; empty for none.
    std::string echo;
    /// Number of tokens after which the connection is closed.
    std::optional<std::uint32_t> truncate_after;
    /// Whether a truncated response still ends as complete HTTP.
    bool clean_truncation = false;
    /// Number of tokens after which nothing more is sent while the connection stays open.
    std::optional<std::uint32_t> silent_after;
    /// Index of a token sent twice.
    std::optional<std::uint32_t> duplicate_token;
    /// Index of a token delayed by `delay`.
    std::optional<std::uint32_t> delay_token;
    std::chrono::milliseconds delay{0};
    /// Responds to completions with bytes that are neither JSON nor events.
    bool rubbish = false;
    /// Number of further runs that the stream faults (echo to rubbish) apply to; nullopt means all.
    std::optional<std::uint32_t> runs;

    /// Counts one run and returns the switches that apply to it.
    fault_switches take_run();

    /// Changes the switches named in `change`. Returns an error message and changes nothing when a
    /// member is unknown or has the wrong type.
    std::optional<std::string> apply(const nlohmann::json& change);
};

} // namespace engine_stand_in
