#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace snipespar::config {

/// Settings of a follower.
struct follower_settings {
    host_id self;
    std::string environment;
    /// Whether this process watches the platform; agents get updates only from entries.
    bool watches_platform = true;
    /// Maximum age of the last confirmation for new requests to be admitted.
    duration confirmation_bound = std::chrono::seconds(10);
    /// How long one watch waits for a change.
    duration watch_wait = std::chrono::seconds(2);
    /// Longest wait before a failed call to the platform is repeated.
    duration retry_wait = std::chrono::milliseconds(500);
    duration query_interval = std::chrono::seconds(1);
    /// How long a fetch may be outstanding before another source is tried.
    duration fetch_timeout = std::chrono::seconds(1);
    std::uint64_t seed = 0;
};

} // namespace snipespar::config
