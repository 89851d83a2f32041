#pragma once

#include "snipespar/time.h"

#include <chrono>

namespace snipespar {

/// The process's monotonic clock in the form that decision objects take.
inline time_point steady_now()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_start));
}

} // namespace snipespar
