#pragma once

#include "gateway/route_rule.h"
#include "snipespar/time.h"

#include <algorithm>
#include <chrono>

namespace snipespar::gateway {

/// A response has to reach the caller before its deadline: 1 ms on the network, the rest for a busy
/// processor.
inline constexpr std::chrono::milliseconds response_margin{12};

/// When the response to a call that has arrived now, and whose caller waits as long as given, has
/// to be sent.
inline time_point call_deadline(const route_rule& route, duration caller_wait, time_point arrived)
{
    return arrived + std::min(caller_wait, route.time_limit) - response_margin;
}

/// When an answer to a plain call that has not been sent yet is wanted.
inline time_point wanted_by(const route_rule& route, time_point arrived, time_point deadline)
{
    return route.target_latency > duration{} ? std::min(arrived + route.target_latency, deadline)
                                             : deadline;
}

} // namespace snipespar::gateway
