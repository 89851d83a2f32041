#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipespar::control {

/// Use of one adapter at one engine, as one gateway sees it.
struct adapter_use {
    std::string model;
    std::string adapter;
    /// Calls that wait for the adapter to be loaded.
    int waiting = 0;
    /// Calls that were sent to the engine and are not finished.
    int running = 0;

    friend bool operator==(const adapter_use&, const adapter_use&) = default;
};

/// What a gateway tells a sidecar: the adapters that it uses or needs at this engine.
struct adapter_demand {
    std::string gateway;
    std::uint64_t gateway_start = 0;
    /// The engine's present name, as the gateway knows it.
    std::string upstream;
    /// Start of the process that bears this name, in Unix milliseconds.
    std::uint64_t upstream_start_ms = 0;
    /// Places for adapters, as configured for the engine's service.
    int adapter_slots = 0;
    /// Base models that the engine has to offer.
    std::vector<std::string> models;
    std::vector<adapter_use> uses;
    /// Announced versions of adapters, by `model/adapter`: those of the uses, and all that were
    /// announced lately.
    std::map<std::string, std::uint64_t> versions;

    friend bool operator==(const adapter_demand&, const adapter_demand&) = default;
};

} // namespace snipespar::control
