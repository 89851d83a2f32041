#pragma once

#include <cstdint>

namespace snipespar::link {

/// Sent at an interval by both sides; the receiver responds with the same sequence number.
struct heartbeat {
    std::uint64_t sequence = 0;
    /// Highest configuration version that the sender has loaded.
    std::uint64_t config_version = 0;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

} // namespace snipespar::link
