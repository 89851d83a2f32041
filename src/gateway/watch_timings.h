#pragma once

#include "platform/watch_timing.h"
#include "snipespar/time.h"

namespace snipespar::gateway {

/// Times within which gateways must act on changes in the platform's store.
struct store_bounds {
    /// Time after an outage of the store from which the other bounds hold again.
    duration recovery{};
    /// For upstreams that leave.
    duration leave{};
    /// For adapters, until only the announced version may begin.
    duration version{};
};

/// How a gateway watches each kind of object.
///
/// A store that is silent for a moment loses the polls that begin then. Their connections stay
/// sound and other polls go on, so that only the lost poll itself shows the loss. For each kind the
/// wait of a poll is therefore so short that a lost one is repeated, and what it missed is in use,
/// when the bound of that kind holds again after the outage; see docs/design/store-watches.md.
struct watch_timings {
    platform::watch_timing config;
    platform::watch_timing upstreams;
    platform::watch_timing versions;
    platform::watch_timing evacuations;
    /// How long the previous version of an adapter may be used once a newer one is known.
    duration version_grace{};
};

watch_timings make_watch_timings(const store_bounds& bounds);

} // namespace snipespar::gateway
