#pragma once

#include <cstdint>

namespace snipespar::link {

/// Sent on an interval by both sides; the other side answers with the same sequence number.
struct heartbeat {
    std::uint64_t sequence = 0;
    /// Highest configuration version that the sender has taken.
    std::uint64_t config_version = 0;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

} // namespace snipespar::link
