#pragma once

#include "snipespar/time.h"

#include <chrono>

namespace snipespar::claims {

/// Wall-clock time in milliseconds since the Unix epoch, which hosts share up to their clock skew.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// One moment on both clocks: timeouts use the monotonic one, retention the wall clock.
struct instant {
    time_point steady;
    wall_time wall;

    friend bool operator==(const instant&, const instant&) = default;
};

} // namespace snipespar::claims
