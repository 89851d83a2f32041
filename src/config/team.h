#pragma once

#include "snipespar/ids.h"

#include <cstdint>
#include <string>

namespace snipespar::config {

/// A team with the rate and priority that it pays for.
struct team {
    team_id id;
    /// Name of one of the document's priority levels.
    std::string priority;
    /// Weight of that level in fair queueing; positive.
    double weight = 1.0;
    /// Sustained rate across the whole fleet, in tokens (prompt and generated) per second.
    std::uint64_t rate_tokens_per_s = 0;
    /// Tokens that may be received in one burst above the sustained rate.
    std::uint64_t burst_tokens = 0;

    friend bool operator==(const team&, const team&) = default;
};

} // namespace snipespar::config
