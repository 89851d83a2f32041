#pragma once

#include "gateway/engine_workload.h"

#include <cstdint>
#include <string>

namespace snipespar::control {

/// Message from a sidecar to all gateways that use its engine, in place of a report while nothing
/// but the load has changed.
struct sidecar_heartbeat {
    /// Address `ip:port` of the engine.
    std::string engine;
    std::uint64_t sidecar_start = 0;
    /// Shares its sequence with the reports.
    std::uint64_t sequence = 0;
    /// Sequence number of the last report to all gateways, which is still valid.
    std::uint64_t report_sequence = 0;
    int running = 0;
    int waiting = 0;
    gateway::engine_workload workload = {};

    friend bool operator==(const sidecar_heartbeat&, const sidecar_heartbeat&) = default;
};

} // namespace snipespar::control
