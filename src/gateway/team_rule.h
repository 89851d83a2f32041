#pragma once

#include "snipespar/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// A team, its keys and what it may use over all hosts together.
struct team_rule {
    team_id id;
    std::vector<std::string> keys;
    /// 0 is the most urgent; goes before the priority of the route.
    int priority = 0;
    /// Tokens that a call without a token count is charged.
    std::uint64_t default_tokens = 0;
    /// Tokens a second; 0 means no limit.
    double rate_per_s = 0;
    /// Tokens that may be used at once.
    double burst = 0;

    friend bool operator==(const team_rule&, const team_rule&) = default;
};

} // namespace snipespar::gateway
