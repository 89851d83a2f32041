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
    telemetry::counter& responses = registry.make_counter(
        "snipespar_gateway_answers_total", "Upstream responses forwarded to their end.");
    telemetry::counter& refusals = registry.make_counter("snipespar_gateway_refusals_total",
                                                         "Requests refused by the gateway itself.");
    telemetry::counter& retries =
        registry.make_counter("snipespar_gateway_retries_total", "Requests sent again.");
    telemetry::counter& retries_denied =
        registry.make_counter("snipespar_gateway_retries_denied_total",
                              "Retries denied because the retry budget was used up.");
    telemetry::counter& cancellations = registry.make_counter(
        "snipespar_gateway_cancellations_total",
        "Requests whose caller disconnected before the response was complete.");
    telemetry::counter& broken_streams = registry.make_counter(
        "snipespar_gateway_broken_streams_total", "Streams aborted before their end.");
    telemetry::counter& resumed_streams = registry.make_counter(
        "snipespar_gateway_resumed_streams_total", "Streams resumed on another upstream.");
    telemetry::counter& take_ups = registry.make_counter(
        "snipespar_gateway_take_ups_total", "Streams that callers took up and that were accepted.");
    telemetry::counter& take_ups_refused = registry.make_counter(
        "snipespar_gateway_take_ups_refused_total",
        "Streams that callers took up and whose software version is not known or gone.");
    telemetry::counter& adapter_waits = registry.make_counter(
        "snipespar_gateway_adapter_waits_total", "Requests that waited for an adapter.");
    telemetry::counter& cold_permits_asked =
        registry.make_counter("snipespar_gateway_cold_permits_asked_total",
                              "Questions to sidecars of cold engines whether to send a request.");
    telemetry::counter& cold_permits_refused = registry.make_counter(
        "snipespar_gateway_cold_permits_refused_total",
        "Requests that a cold engine had no room for, or whose question was not answered.");
    telemetry::gauge& evacuated_domains = registry.make_gauge(
        "snipespar_gateway_evacuated_domains", "Failure domains that get no requests.");
    telemetry::counter& backlog_refusals = registry.make_counter(
        "snipespar_gateway_backlog_refusals_total",
        "Requests refused as no upstream was forecast to answer them when they are wanted.");
    telemetry::counter& log_lines_dropped = registry.make_counter(
        "snipespar_gateway_log_lines_dropped_total", "Log lines dropped to bound the volume.");
    telemetry::counter& unreadable_objects =
        registry.make_counter("snipespar_gateway_unreadable_objects_total",
                              "Objects of the platform's store that could not be read.");
    telemetry::counter& store_reads = registry.make_counter(
        "snipespar_gateway_store_reads_total", "Reads of the platform's store that have ended.");
    telemetry::counter& store_reads_given_up = registry.make_counter(
        "snipespar_gateway_store_reads_given_up_total",
        "Reads of the platform's store whose result was not used, as a later one replaced them.");
    telemetry::counter& store_reads_failed = registry.make_counter(
        "snipespar_gateway_store_reads_failed_total", "Reads of the platform's store that failed.");
    telemetry::gauge& config_version = registry.make_gauge("snipespar_gateway_config_version",
                                                           "Version of the configuration in use.");
    telemetry::gauge& in_flight =
        registry.make_gauge("snipespar_gateway_in_flight", "Requests in progress.");
    telemetry::summary& latency = registry.make_summary(
        "snipespar_gateway_latency_seconds",
        "Time from a request to its response header, for forwarded responses.");
    telemetry::summary& forecast_error = registry.make_summary(
        "snipespar_gateway_forecast_error_seconds",
        "Difference between the time that a call took at a plain upstream and its forecast.");
};

} // namespace snipespar::gateway
