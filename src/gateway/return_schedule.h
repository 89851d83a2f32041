#pragma once

#include "snipespar/time.h"

#include <algorithm>

namespace snipespar::gateway {

/// Tells refused callers when to return, one after the other at the rate at which they can be
/// served.
class return_schedule {
public:
    /// `opens_at`: when the first of them can be served; `rate_per_s`: how many follow, positive.
    time_point next(time_point opens_at, double rate_per_s, time_point now)
    {
        const auto interval =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / rate_per_s));
        last_ = std::min(std::max(opens_at, last_ + std::min<duration>(interval, horizon)),
                         now + horizon);
        return std::max(last_, opens_at);
    }

private:
    // Beyond it, demand and rate are not known.
    static constexpr duration horizon = std::chrono::seconds(10);

    time_point last_;
};

} // namespace snipespar::gateway
