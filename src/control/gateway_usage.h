#pragma once

#include "snipespar/time.h"

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
    /// Total tokens admitted and not refunded, of the teams whose use has changed lately.
    std::map<std::string, std::uint64_t> team_tokens;
    /// Upstreams whose responses recently announced their stop: process start by upstream.
    std::map<std::string, std::uint64_t> leaving_upstreams;
    /// Teams that are not stated have no use.
    bool is_complete = true;
    /// Longest time between two reports; zero if not stated.
    duration report_interval{};
    /// Digest of the evacuated failure domains that the gateway knows; 0 if not stated.
    std::uint64_t evacuations = 0;

    friend bool operator==(const gateway_usage&, const gateway_usage&) = default;
};

} // namespace snipespar::control
