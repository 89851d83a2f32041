#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// What the engines of a model service can hold.
struct engine_rule {
    /// Calls that run at once.
    int slots = 0;
    /// Tokens that the cache of one engine holds.
    std::uint64_t memory_tokens = 0;
    /// Adapters that may be resident or on their way at once.
    int adapter_slots = 0;
    /// Base models that the service offers.
    std::vector<std::string> models;

    friend bool operator==(const engine_rule&, const engine_rule&) = default;
};

/// A group of upstreams that answer the same calls.
struct service_rule {
    std::string name;
    /// Connections that one upstream accepts from all callers together.
    int max_connections = 0;
    /// Set for model services.
    std::optional<engine_rule> engine;

    friend bool operator==(const service_rule&, const service_rule&) = default;
};

} // namespace snipespar::gateway
