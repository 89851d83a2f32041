#pragma once

#include <cstdint>
#include <limits>

namespace snipespar {

/// The whole part of a number, or the nearest integer that the type can hold; 0 for NaN. A plain
/// conversion is undefined for a number out of range.
inline std::uint64_t to_whole_number(double number)
{
    // The first double that is too large: two to the power of 64.
    constexpr double limit = 18446744073709551616.0;
    if (!(number > 0)) {
        return 0;
    }
    return number < limit ? static_cast<std::uint64_t>(number)
                          : std::numeric_limits<std::uint64_t>::max();
}

} // namespace snipespar
