#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::gateway {

/// Size limits and timeouts for callers.
struct caller_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4ULL * 1024 * 1024;
    /// From the first byte of a request to the end of its header.
    duration header_timeout = std::chrono::seconds(3);
    /// Between two requests of one connection.
    duration idle_timeout = std::chrono::seconds(15);

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

} // namespace snipespar::gateway
