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

/// Validated settings of one `snipespar entry` process. Immutable once parsed.
struct entry_settings {
    /// Callers' HTTP.
    endpoint listen;
    /// Links from other entries.
    endpoint link_listen;
    /// Metrics, liveness, readiness and status.
    endpoint admin_listen;
    /// Exactly one of `platform` and `config_file` is set.
    std::optional<endpoint> platform;
    std::optional<std::string> config_file;
    std::string environment;
    host_id host;
    failure_domain_id failure_domain;
    /// Link addresses of the other entries.
    std::vector<endpoint> peers;
    std::uint64_t max_body_bytes = 0;
    duration request_timeout{};
    /// At least `request_timeout`, so that a drain cuts off no request.
    duration drain_timeout{};
    duration heartbeat{};
    std::uint32_t traffic_threads = 1;
    std::optional<endpoint> trace_endpoint;
    duration counters_interval{};
    /// 0 requests a random seed.
    std::uint64_t seed = 0;
    secret fleet_secret;

    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

} // namespace snipespar::cli
