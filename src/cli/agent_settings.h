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

/// Validated settings of one `snipespar agent` process. Immutable once parsed.
struct agent_settings {
    /// Links from entries; bound exclusively while the process runs.
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
    /// Time after which an order of a crashed agent can no longer take effect on the upstream.
    duration longest_order_time{};
    std::optional<endpoint> trace_endpoint;
    duration counters_interval{};
    /// 0 requests a random seed.
    std::uint64_t seed = 0;
    secret fleet_secret;

    friend bool operator==(const agent_settings&, const agent_settings&) = default;
};

} // namespace snipespar::cli
