#pragma once

#include <cstdint>

namespace snipespar::cli {

/// What the choice of an engine goes by.
enum class placement_rule : std::uint8_t {
    /// The number of calls on each engine.
    load,
    /// Also the prompt tokens that each engine has not read and how fast it reads.
    work,
};

} // namespace snipespar::cli
