#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipespar::route {

/// Load of an upstream as reported by its agent to the entries.
struct load_report {
    /// Requests running on the upstream.
    std::uint32_t running = 0;
    /// Requests in the agent's queue.
    std::uint32_t waiting = 0;
    /// Expected wait of a new request for its first byte.
    duration queue_estimate{};
    /// Adapters resident on the upstream.
    std::vector<adapter_ref> resident;
    /// Version of the upstream's software; empty if it states none.
    std::string software = {};

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace snipespar::route
