#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <optional>
#include <variant>
#include <vector>

namespace snipespar::gateway {

/// The call can be sent immediately.
struct send_to {
    upstream_id upstream;

    friend bool operator==(const send_to&, const send_to&) = default;
};

/// The adapter has to be loaded at this upstream first.
struct wait_for_adapter {
    upstream_id upstream;

    friend bool operator==(const wait_for_adapter&, const wait_for_adapter&) = default;
};

/// No upstream can accept the call.
struct no_upstream {
    /// Upstreams exist, but all of them are full.
    bool is_overloaded = false;
    /// When the first of the closed upstreams opens, if no other one is left.
    std::optional<time_point> opens_at;
    /// Requests per second that the closed upstreams take together; 0 if one of them named none.
    double rate_per_s = 0;
    /// No upstream of the required software version serves any more.
    bool is_version_gone = false;
    /// Upstreams are open, but none is forecast to finish the call when it is wanted.
    bool is_backlogged = false;

    friend bool operator==(const no_upstream&, const no_upstream&) = default;
};

using placement = std::variant<send_to, wait_for_adapter, no_upstream>;

/// Where a call runs, and further replicas that its adapter should get.
struct placement_decision {
    placement destination;
    /// Engines that should load the adapter for calls to come; this call does not wait for them.
    std::vector<upstream_id> replicas;

    friend bool operator==(const placement_decision&, const placement_decision&) = default;
};

} // namespace snipespar::gateway
