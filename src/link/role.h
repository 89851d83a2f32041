#pragma once

#include <cstdint>

namespace snipespar::link {

/// Kind of the process at one end of a link.
enum class role : std::uint8_t {
    entry = 1,
    agent = 2,
};

} // namespace snipespar::link
