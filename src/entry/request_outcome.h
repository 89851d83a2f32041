#pragma once

#include "snipespar/ids.h"
#include "snipespar/run_state.h"
#include "snipespar/time.h"
#include "telemetry/trace_context.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace snipespar::entry {

/// Result of one request, for metrics, traces and logs. It contains no caller-provided data except
/// names that the configuration defines.
struct request_outcome {
    std::string request_id;
    team_id team;
    /// `adapter@version`, or the name of a plain service; empty if neither was found.
    std::string target;
    int status = 0;
    /// `complete`, or the code of the refusal or error.
    std::string reason;
    run_state ran = run_state::unknown;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    std::chrono::system_clock::time_point began_at;
    time_point began{};
    /// Time from the request's arrival to the first part of its response.
    std::optional<duration> first_part;
    telemetry::trace_context trace;
    telemetry::span_id parent{};
};

} // namespace snipespar::entry
