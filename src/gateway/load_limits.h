#pragma once

#include "gateway/ranked_engine.h"

#include <limits>

namespace snipespar::gateway {

/// Thresholds above which engines get fewer calls, or none.
struct load_limits {
    /// Calls that an engine runs concurrently.
    double slots = 0;
    /// An engine with this load, in calls, is busy.
    double busy = 0;
    /// An engine with this load, in calls, gets no further calls.
    double full = 0;
    /// An engine that takes longer to begin a call is busy.
    double busy_ms = std::numeric_limits<double>::infinity();

    bool is_busy(const ranked_engine& engine) const
    {
        return engine.load >= busy || engine.start_ms >= busy_ms;
    }

    friend bool operator==(const load_limits&, const load_limits&) = default;
};

} // namespace snipespar::gateway
