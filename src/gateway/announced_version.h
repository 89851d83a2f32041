#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::gateway {

/// An announced version of an adapter, and when this gateway learned of it.
struct announced_version {
    std::uint64_t version = 0;
    /// The previous version, which may be used for a grace period.
    std::uint64_t previous = 0;
    time_point known_since;

    friend bool operator==(const announced_version&, const announced_version&) = default;
};

} // namespace snipespar::gateway
