#pragma once

#include "base/json_reader.h"
#include "snipespar/time.h"

#include <algorithm>
#include <cstdint>

namespace snipespar::control {

/// A span as messages state it, in whole milliseconds; 0 if it is negative.
inline std::uint64_t to_ms(duration span)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count(), 0));
}

inline duration read_ms(const json_reader& fields, const char* name)
{
    return std::chrono::milliseconds(fields.integer<std::uint32_t>(name));
}

} // namespace snipespar::control
