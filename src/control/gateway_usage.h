#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace snipespar::control {

/// Message between gateways: totals since the sender's start, so that lost messages are harmless.
struct gateway_usage {
    std::string gateway;
    std::uint64_t gateway_start = 0;
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    /// The gateway is stopping and uses no more tokens.
    bool is_stopping = false;
    /// Tokens admitted by team.
    std::map<std::string, std::uint64_t> team_tokens;

    friend bool operator==(const gateway_usage&, const gateway_usage&) = default;
};

} // namespace snipespar::control
