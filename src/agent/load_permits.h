#pragma once

#include "snipespar/time.h"

namespace snipespar::agent {

/// One agent's fixed share of the weight store's rate limit. The shares of all agents never exceed
/// the limit in total, at the cost of waiting while other shares are unused.
class load_permits {
public:
    /// At most one load per `interval`; zero for no limit.
    explicit load_permits(duration interval) : interval_(interval) {}

    /// Takes a permit and returns zero, or returns the time until one is available.
    duration take(time_point now)
    {
        if (now < next_) {
            return next_ - now;
        }
        next_ = now + interval_;
        return {};
    }

private:
    duration interval_;
    time_point next_{};
};

} // namespace snipespar::agent
