#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipespar::control {

/// One gateway's use of one adapter on one engine.
struct adapter_use {
    std::string model;
    std::string adapter;
    /// Calls that wait for the adapter to be loaded.
    int waiting = 0;
    /// Calls in flight to the engine.
    int running = 0;
    /// Calls sent to the engine since the gateway's last message; stated only to sidecars that
    /// count calls.
    int begun = 0;
    /// A waiting call can begin in time if it is sent within this time; zero if none can. Stated
    /// only to sidecars that count calls.
    duration timely_for{};

    friend bool operator==(const adapter_use&, const adapter_use&) = default;
};

/// Message from a gateway to a sidecar: the adapters that it uses or waits for on this engine.
struct adapter_demand {
    std::string gateway;
    std::uint64_t gateway_start = 0;
    /// Name of the engine's latest incarnation known to the gateway.
    std::string upstream;
    /// Process start of that incarnation in Unix milliseconds.
    std::uint64_t upstream_start_ms = 0;
    /// Adapter slots configured for the engine's service.
    int adapter_slots = 0;
    /// Base models that the engine has to serve.
    std::vector<std::string> models;
    std::vector<adapter_use> uses;
    /// Announced adapter versions by `model/adapter`: of the adapters in `uses`, and all recently
    /// announced ones.
    std::map<std::string, std::uint64_t> versions;

    friend bool operator==(const adapter_demand&, const adapter_demand&) = default;
};

} // namespace snipespar::control
