#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// Capacity of the engines of a model service.
struct engine_rule {
    /// Calls that run concurrently.
    int slots = 0;
    /// Cache size of one engine in tokens.
    std::uint64_t memory_tokens = 0;
    /// Limit of adapters that are resident or loading.
    int adapter_slots = 0;
    /// Base models that the service offers.
    std::vector<std::string> models;

    friend bool operator==(const engine_rule&, const engine_rule&) = default;
};

/// A group of upstreams that serve the same calls.
struct service_rule {
    std::string name;
    /// Connections that one upstream accepts in total.
    int max_connections = 0;
    /// Set for model services.
    std::optional<engine_rule> engine;
    /// Time for which an upstream is cold after its start.
    duration cold_time{};
    /// Requests per second that a cold upstream takes from all gateways together; 0 if it takes as
    /// many as a warm one.
    double cold_rate_per_s = 0;

    friend bool operator==(const service_rule&, const service_rule&) = default;
};

} // namespace snipespar::gateway
