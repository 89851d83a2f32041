#pragma once

#include <cstdint>

namespace snipespar::link {

/// Response to a heartbeat.
struct heartbeat_ack {
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;

    friend bool operator==(const heartbeat_ack&, const heartbeat_ack&) = default;
};

} // namespace snipespar::link
