#pragma once

#include "base/secret.h"
#include "link/peer.h"
#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::link {

/// How a process takes part in links.
struct endpoint_options {
    secret fleet_secret;
    peer self;
    duration heartbeat_interval = std::chrono::seconds(1);
    /// Silence after which a link is dead.
    duration heartbeat_timeout = std::chrono::seconds(3);
    /// Time allowed for connecting and authenticating.
    duration handshake_timeout = std::chrono::seconds(3);
    /// First and longest pause before a lost link is dialled again.
    duration min_redial = std::chrono::milliseconds(50);
    duration max_redial = std::chrono::seconds(2);
    /// Seed of the redial jitter.
    std::uint64_t seed = 0;
};

} // namespace snipespar::link
