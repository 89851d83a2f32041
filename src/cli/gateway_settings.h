#pragma once

#include "cli/endpoint.h"
#include "snipespar/finding.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::cli {

/// Validated settings of one `snipespar gateway` process. Immutable once parsed.
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
    /// Time from SIGTERM until the platform kills the process.
    duration stop_grace{};
    /// Memory in bytes beyond which the platform kills the process.
    std::uint64_t memory_limit = 0;
    /// Descriptors that the platform lets the process open; 0 for the limit of the system.
    std::uint64_t max_descriptors = 0;
    /// Time after an outage of the platform's store from which the bounds below hold again.
    duration store_recovery_bound{};
    /// Time after the announcement of a new version of an adapter from which no other may begin.
    duration version_bound{};
    /// Time after its announced stop or removal from which an upstream must get no new work.
    duration leave_bound{};
    /// Time after the operator's request from which an evacuated failure domain must get no new
    /// work; 0 if the deployment has no evacuations.
    duration evacuation_bound{};
    /// Retries allowed per request, and beyond those per window, over all gateways.
    double retry_ratio = 0;
    double retry_slack = 0;
    /// 0 requests a random seed.
    std::uint64_t seed = 0;
    /// Settings that were ignored because of their text.
    findings ignored;

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

} // namespace snipespar::cli
