#pragma once

#include "base/secret.h"
#include "cli/endpoint.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipespar::cli {

/// Checked settings of one `snipespar agent` process. Never changed once parsed.
struct agent_settings {
    /// Links from entries; held exclusively for as long as the process lives.
    endpoint listen;
    /// Metrics, liveness, readiness and status.
    endpoint admin_listen;
    /// The engine or plain service that this agent serves.
    endpoint upstream;
    upstream_id id;
    std::string environment;
    host_id host;
    failure_domain_id failure_domain;
    /// Link addresses of entries to learn the configuration from; may be empty.
    std::vector<endpoint> entries;
    duration drain_timeout{};
    duration heartbeat{};
    /// After it, an order of an agent that died has no effect on the upstream any more.
    duration longest_order_time{};
    std::optional<endpoint> trace_endpoint;
    duration counters_interval{};
    /// 0 asks for a fresh seed.
    std::uint64_t seed = 0;
    secret fleet_secret;

    friend bool operator==(const agent_settings&, const agent_settings&) = default;
};

} // namespace snipespar::cli
