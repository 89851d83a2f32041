#pragma once

#include "config/adapter.h"
#include "config/api_key.h"
#include "config/route.h"
#include "config/team.h"
#include "config/upstream.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipespar::config {

/// Limits of the shared weight store.
struct weight_store_limits {
    double loads_per_s = 3.0;
    std::uint32_t loads_at_once = 2;

    friend bool operator==(const weight_store_limits&, const weight_store_limits&) = default;
};

/// One accepted version of the whole configuration. Immutable once built, shared by pointer, and
/// replaced only by one with a higher version.
struct snapshot {
    /// Incremented with each accepted change; 0 before the first.
    std::uint64_t version = 0;
    std::string environment;
    std::map<team_id, team> teams;
    std::map<key_id, api_key> keys;
    std::map<adapter_id, adapter> adapters;
    std::vector<route> routes;
    std::map<upstream_id, upstream> upstreams;
    weight_store_limits weight_store;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

} // namespace snipespar::config
