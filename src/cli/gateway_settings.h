#pragma once

#include "cli/endpoint.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::cli {

/// Checked settings of one `snipespar gateway` process. Never changed once parsed.
struct gateway_settings {
    /// Callers' HTTP.
    endpoint listen;
    /// Readiness and metrics.
    endpoint admin_listen;
    /// Datagrams from sidecars and other gateways. All hosts use the same port.
    endpoint control_listen;
    endpoint platform;
    host_id host;
    failure_domain_id failure_domain;
    /// Between SIGTERM and the end of the process at the latest.
    duration drain_timeout{};
    /// Retries allowed for each request, and beyond that in a window, by all gateways together.
    double retry_ratio = 0;
    double retry_slack = 0;
    /// 0 asks for a fresh seed.
    std::uint64_t seed = 0;

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

} // namespace snipespar::cli
