#pragma once

#include "base/secret.h"
#include "link/peer.h"
#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::link {

/// Identity and timing of a process's links.
struct endpoint_options {
    secret fleet_secret;
    peer self;
    duration heartbeat_interval = std::chrono::seconds(1);
    /// Time without a received frame after which a link is dead.
    duration heartbeat_timeout = std::chrono::seconds(3);
    /// Time allowed for connecting and authenticating.
    duration handshake_timeout = std::chrono::seconds(3);
    /// Initial and maximum delay before a lost link is redialled.
    duration min_redial_delay = std::chrono::milliseconds(50);
    duration max_redial_delay = std::chrono::seconds(2);
    /// Seed of the redial jitter.
    std::uint64_t seed = 0;
};

} // namespace snipespar::link
