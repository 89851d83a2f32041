#pragma once

#include "telemetry/counter.h"
#include "telemetry/gauge.h"
#include "telemetry/metrics_registry.h"
#include "telemetry/summary.h"

namespace snipespar::gateway {

/// The metrics of a gateway.
class gateway_metrics {
public:
    telemetry::metrics_registry registry;

    telemetry::counter& calls =
        registry.make_counter("snipespar_gateway_calls_total", "Requests read from callers.");
    telemetry::counter& answers = registry.make_counter(
        "snipespar_gateway_answers_total", "Answers of upstreams passed on to their end.");
    telemetry::counter& refusals = registry.make_counter(
        "snipespar_gateway_refusals_total", "Requests answered by the gateway itself.");
    telemetry::counter& retries =
        registry.make_counter("snipespar_gateway_retries_total", "Requests sent once more.");
    telemetry::counter& retries_denied = registry.make_counter(
        "snipespar_gateway_retries_denied_total", "Retries for which the budget had nothing left.");
    telemetry::counter& cancellations =
        registry.make_counter("snipespar_gateway_cancellations_total",
                              "Requests whose caller left before their answer was complete.");
    telemetry::counter& broken_streams = registry.make_counter(
        "snipespar_gateway_broken_streams_total", "Streams that were broken off midway.");
    telemetry::counter& resumed_streams = registry.make_counter(
        "snipespar_gateway_resumed_streams_total", "Streams that went on at another upstream.");
    telemetry::counter& adapter_waits = registry.make_counter(
        "snipespar_gateway_adapter_waits_total", "Requests that waited for an adapter.");
    telemetry::counter& log_lines_dropped = registry.make_counter(
        "snipespar_gateway_log_lines_dropped_total", "Log lines dropped to bound the volume.");
    telemetry::gauge& in_flight =
        registry.make_gauge("snipespar_gateway_in_flight", "Requests that are not finished.");
    telemetry::summary& latency = registry.make_summary(
        "snipespar_gateway_latency_seconds",
        "Time from a request to the head of its answer, for requests that were passed on.");
};

} // namespace snipespar::gateway
