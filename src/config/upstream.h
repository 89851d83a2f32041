#pragma once

#include "snipespar/ids.h"

#include <cstdint>
#include <string>

namespace snipespar::config {

/// What an upstream runs.
enum class upstream_kind {
    /// A model engine that loads adapters.
    engine,
    /// A plain service.
    service,
};

/// An upstream and the agent in front of it.
struct upstream {
    upstream_id id;
    upstream_kind kind = upstream_kind::engine;
    /// The base model of an engine, or the name of a plain service.
    std::string serves;
    host_id host;
    failure_domain_id failure_domain;
    /// IP address and port of the agent's link listener.
    std::string agent_address;
    std::uint16_t agent_port = 0;
    /// Maximum number of adapters resident on the engine; 0 for plain services.
    std::uint32_t adapter_slots = 0;
    /// Maximum number of requests that the upstream runs concurrently.
    std::uint32_t max_running = 1;
    /// Whether the upstream rejects an order with an outdated fencing number.
    bool checks_fencing = false;

    friend bool operator==(const upstream&, const upstream&) = default;
};

} // namespace snipespar::config
