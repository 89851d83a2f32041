#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace snipespar::control {

/// What a gateway tells the others: totals since its start, so that lost messages do no harm.
struct gateway_usage {
    std::string gateway;
    std::uint64_t gateway_start = 0;
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    /// The gateway is stopping; its share is free.
    bool is_leaving = false;
    /// Tokens admitted for each team.
    std::map<std::string, std::uint64_t> team_tokens;

    friend bool operator==(const gateway_usage&, const gateway_usage&) = default;
};

} // namespace snipespar::control
