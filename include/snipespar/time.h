#pragma once

#include <chrono>

namespace snipespar {

/// Clock of decision objects, which are driven by events. It has no now(): each event carries its
/// time, so the same object runs in a process, under a fuzzer and in virtual time.
struct event_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<event_clock, duration>;
    static constexpr bool is_steady = true;
};

/// A span of time in microseconds.
using duration = event_clock::duration;

/// A point in time on a monotonic clock, in microseconds since an arbitrary start.
using time_point = event_clock::time_point;

} // namespace snipespar
