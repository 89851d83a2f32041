#pragma once

#include "snipespar/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// What the sidecar of an engine last told of it.
struct engine_status {
    /// Address `ip:port` of the engine.
    std::string engine;
    /// Start of the sidecar's process and number of the message; later ones replace earlier ones.
    std::uint64_t sidecar_start = 0;
    std::uint64_t sequence = 0;
    /// Base models that are loaded.
    std::vector<std::string> models;
    /// Version of each adapter that may be used, by `model/adapter`.
    std::map<std::string, std::uint64_t, std::less<>> adapters;
    /// Adapters that are on their way, as `model/adapter`.
    std::vector<std::string> loading;
    int running = 0;
    int waiting = 0;
    std::uint64_t memory_used = 0;
    /// No further adapter can be taken at the moment.
    bool is_full = false;
    /// More adapters are awaited than there are free places: gateways should tell at once when they
    /// no longer use one.
    bool is_short_of_slots = false;

    friend bool operator==(const engine_status&, const engine_status&) = default;
};

} // namespace snipespar::gateway
