#pragma once

#include <cstdint>

namespace snipespar::gateway {

/// What an engine still has to do before it can begin a further call, as its sidecar sees it.
struct engine_workload {
    /// Prompt tokens of the calls whose response has not begun.
    std::uint64_t waiting_tokens = 0;
    /// Prompt tokens that the engine reads in a millisecond while prompts wait; 0 while unknown.
    double tokens_per_ms = 0;

    friend bool operator==(const engine_workload&, const engine_workload&) = default;
};

} // namespace snipespar::gateway
