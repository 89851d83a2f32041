#pragma once

#include "telemetry/counter.h"
#include "telemetry/gauge.h"
#include "telemetry/metrics_registry.h"

namespace snipespar::sidecar {

/// The metrics of a sidecar.
class sidecar_metrics {
public:
    telemetry::metrics_registry registry;

    telemetry::counter& orders =
        registry.make_counter("snipespar_sidecar_orders_total", "Orders sent to the engine.");
    telemetry::counter& orders_failed = registry.make_counter(
        "snipespar_sidecar_orders_failed_total", "Orders that were refused or got no response.");
    telemetry::counter& reports_failed = registry.make_counter(
        "snipespar_sidecar_reports_failed_total", "Engine reports that could not be read.");
    telemetry::counter& admissions =
        registry.make_counter("snipespar_sidecar_admissions_total",
                              "Answers to gateways that asked to send a prompt to the engine.");
    telemetry::counter& admissions_refused =
        registry.make_counter("snipespar_sidecar_admissions_refused_total",
                              "Calls whose prompt the engine could not take in time.");
    telemetry::counter& cold_permits =
        registry.make_counter("snipespar_sidecar_cold_permits_total",
                              "Answers to gateways that asked to send a request to the engine "
                              "while it is cold.");
    telemetry::counter& cold_permits_refused =
        registry.make_counter("snipespar_sidecar_cold_permits_refused_total",
                              "Of these, refusals: the engine has no room soon.");
    telemetry::gauge& waiting_prompt_tokens =
        registry.make_gauge("snipespar_sidecar_waiting_prompt_tokens",
                            "Prompt tokens that the engine has not read yet.");
    telemetry::gauge& prompt_tokens_per_s =
        registry.make_gauge("snipespar_sidecar_prompt_tokens_per_s",
                            "Prompt tokens that the engine reads in a second while some wait.");
    telemetry::gauge& run_ms =
        registry.make_gauge("snipespar_sidecar_run_ms",
                            "How long the engine's streams usually last from their first event.");
    telemetry::gauge& paced_prompt_tokens = registry.make_gauge(
        "snipespar_sidecar_paced_prompt_tokens", "Most prompt tokens that the engine is given "
                                                 "within the time of one event; 0 if unlimited.");
    telemetry::gauge& adapter_load_ms = registry.make_gauge(
        "snipespar_sidecar_adapter_load_ms", "Usual time of a load from the weight store.");
    telemetry::gauge& store_busy = registry.make_gauge(
        "snipespar_sidecar_store_busy", "1 while loads take longer than on an idle weight store.");
    telemetry::gauge& pending_adapters =
        registry.make_gauge("snipespar_sidecar_pending_adapters",
                            "Adapters that calls wait for and that are not being loaded yet.");
    telemetry::counter& origins = registry.make_counter(
        "snipespar_sidecar_origins_total", "Origins of streams recorded here by gateways.");
    telemetry::counter& demands = registry.make_counter("snipespar_sidecar_demands_total",
                                                        "Messages received from gateways.");
};

} // namespace snipespar::sidecar
