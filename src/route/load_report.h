#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <vector>

namespace snipespar::route {

/// What an agent tells the entries about its upstream.
struct load_report {
    /// Requests that the upstream runs.
    std::uint32_t running = 0;
    /// Requests in the agent's queue.
    std::uint32_t waiting = 0;
    /// How long a request that arrives now would wait for its first byte.
    duration queue_estimate{};
    /// Adapters that the upstream holds.
    std::vector<adapter_ref> resident;

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace snipespar::route
