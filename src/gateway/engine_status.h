#pragma once

#include "gateway/engine_workload.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// Status of an engine as last reported by its sidecar.
struct engine_status {
    /// Address `ip:port` of the engine.
    std::string engine;
    /// Start number of the sidecar and sequence number of the message; later ones replace earlier
    /// ones.
    std::uint64_t sidecar_start = 0;
    std::uint64_t sequence = 0;
    /// Process start of the engine in Unix milliseconds; 0 if not stated.
    std::uint64_t process_start_ms = 0;
    /// Base models that are loaded.
    std::vector<std::string> models;
    /// Version of each usable adapter, by `model/adapter`.
    std::map<std::string, std::uint64_t, std::less<>> adapters;
    /// Adapters being loaded, as `model/adapter`.
    std::vector<std::string> loading;
    int running = 0;
    int waiting = 0;
    std::uint64_t memory_used = 0;
    engine_workload workload = {};
    /// Loads are backlogged; no further adapters are accepted at present.
    bool is_full = false;
    /// More adapters are pending than slots are free: gateways should report immediately when they
    /// no longer use one.
    bool is_short_of_slots = false;
    /// Gateways must ask the sidecar before they send a prompt.
    bool is_paced = false;
    /// Gateways should state how many calls they have sent for each adapter.
    bool counts_calls = false;

    friend bool operator==(const engine_status&, const engine_status&) = default;
};

} // namespace snipespar::gateway
