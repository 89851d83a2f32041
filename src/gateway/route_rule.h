#pragma once

#include "gateway/call_kind.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// A service that a route leads to and its share of the route's calls.
struct weighted_service {
    std::string service;
    double weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// One route of the configuration: which calls it takes and how they are handled.
struct route_rule {
    route_id id;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    call_kind kind = call_kind::unsafe;
    /// Longest time that a caller is kept waiting.
    duration time_limit{};
    /// Time to the whole answer, or to the first event of a stream, that callers expect.
    duration target_latency{};
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Upstreams that one call may be sent to.
    int max_attempts = 1;
    bool is_public = false;
    /// A stream may go on at another upstream after its last event.
    bool is_resumable = false;
    /// Longest pause between events that callers accept; zero for other calls.
    duration target_gap{};

    /// Whether a call whose outcome is unknown may be sent again.
    bool is_repeatable() const
    {
        return kind == call_kind::safe || (kind == call_kind::stream && is_resumable);
    }

    friend bool operator==(const route_rule&, const route_rule&) = default;
};

} // namespace snipespar::gateway
