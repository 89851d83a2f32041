#pragma once

#include "telemetry/metrics_registry.h"

namespace snipespar::telemetry {
class counter;
class gauge;
class summary;
} // namespace snipespar::telemetry

namespace snipespar::entry {

struct request_outcome;

/// The metrics of an entry process. Thread-safe.
class entry_metrics {
public:
    entry_metrics();

    void record(const request_outcome& outcome);

    telemetry::metrics_registry& registry() { return registry_; }

private:
    telemetry::metrics_registry registry_;
    telemetry::counter& prompt_tokens_;
    telemetry::counter& completion_tokens_;
    telemetry::summary& first_part_;
    telemetry::summary& total_;

public:
    telemetry::gauge& requests_in_progress;
    telemetry::gauge& config_version;
    telemetry::gauge& agent_links;
    telemetry::gauge& peer_links;
};

} // namespace snipespar::entry
