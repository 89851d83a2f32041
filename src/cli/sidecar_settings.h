#pragma once

#include "cli/endpoint.h"
#include "cli/retention_rule.h"
#include "snipespar/finding.h"
#include "snipespar/ids.h"

namespace snipespar::cli {

/// Validated settings of one `snipespar sidecar` process. Immutable once parsed.
struct sidecar_settings {
    /// Datagrams from gateways.
    endpoint control_listen;
    /// Readiness and metrics.
    endpoint admin_listen;
    /// The engine on this host, as gateways address it.
    endpoint engine;
    host_id host;
    /// Whether gateways are told what the engine still has to do, so that calls go where they begin
    /// soonest.
    bool states_work = false;
    /// Which adapter gives up its slot.
    retention_rule retention = retention_rule::recency;
    /// Settings that were ignored because of their text.
    findings ignored;

    friend bool operator==(const sidecar_settings&, const sidecar_settings&) = default;
};

} // namespace snipespar::cli
