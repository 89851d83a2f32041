#pragma once

#include <chrono>
#include <cstdint>

namespace snipespar::net {

/// Start number of a process, higher at each start on one host: microseconds since 1970.
inline std::uint64_t start_number()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

} // namespace snipespar::net
