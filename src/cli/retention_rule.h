#pragma once

#include <cstdint>

namespace snipespar::cli {

/// Which resident adapter an engine gives up when its slots are needed.
enum class retention_rule : std::uint8_t {
    /// The one that has not been used for longest.
    recency,
    /// The one for which fewest calls are expected, going by the calls of all gateways.
    demand,
};

} // namespace snipespar::cli
