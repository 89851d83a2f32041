#pragma once

#include "gateway/engine_status.h"

#include <string>
#include <vector>

namespace snipespar::control {

/// Message from a sidecar to the gateways that use its engine.
struct sidecar_report {
    gateway::engine_status status;
    /// Addresses `ip:port` of the gateways that recently sent demand; not in every report.
    std::vector<std::string> gateways;

    friend bool operator==(const sidecar_report&, const sidecar_report&) = default;
};

} // namespace snipespar::control
