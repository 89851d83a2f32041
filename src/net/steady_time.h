#pragma once

#include "snipespar/time.h"

#include <chrono>

namespace snipespar {

/// Current time of the monotonic clock, in the type used by decision objects.
inline time_point steady_now()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_start));
}

} // namespace snipespar
