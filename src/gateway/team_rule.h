#pragma once

#include "snipespar/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// A team, its keys and its limits over all hosts.
struct team_rule {
    team_id id;
    std::vector<std::string> keys;
    /// 0 is the most urgent; takes precedence over the priority of the route.
    int priority = 0;
    /// Tokens charged for a call without a token count.
    std::uint64_t default_tokens = 0;
    /// Tokens per second; 0 means no limit.
    double rate_per_s = 0;
    /// Tokens that may be used in one burst.
    double burst = 0;

    friend bool operator==(const team_rule&, const team_rule&) = default;
};

} // namespace snipespar::gateway
