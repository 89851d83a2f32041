#pragma once

#include "platform/watch_timing.h"
#include "snipespar/time.h"

namespace snipespar::gateway {

/// Times within which gateways must act on changes in the platform's store.
struct store_bounds {
    /// For upstreams that leave.
    duration leave{};
};

/// How a gateway watches each kind of object.
struct watch_timings {
    platform::watch_timing config;
    platform::watch_timing upstreams;
    platform::watch_timing versions;
    platform::watch_timing evacuations;
};

watch_timings make_watch_timings(const store_bounds& bounds);

} // namespace snipespar::gateway
