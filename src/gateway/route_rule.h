#pragma once

#include "gateway/call_kind.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// A target service of a route and its share of the route's calls.
struct weighted_service {
    std::string service;
    double weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// One route of the configuration: the calls that it matches and their handling.
struct route_rule {
    route_id id;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    call_kind kind = call_kind::unsafe;
    /// Upper limit of a call's duration.
    duration time_limit{};
    /// Time to the complete response, or to a stream's first event, that callers expect.
    duration target_latency{};
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Limit of upstreams that may run one call.
    int max_attempts = 1;
    bool is_public = false;
    /// A stream may be resumed on another upstream after its last event.
    bool is_resumable = false;
    /// Longest gap between events that callers accept; zero for other calls.
    duration target_gap{};

    /// Whether a call whose outcome is unknown may be sent again.
    bool is_repeatable() const
    {
        return kind == call_kind::safe || (kind == call_kind::stream && is_resumable);
    }

    friend bool operator==(const route_rule&, const route_rule&) = default;
};

} // namespace snipespar::gateway
