#pragma once

#include "snipespar/time.h"

namespace snipespar::agent {

/// One agent's fixed part of the weight store's rate. The parts of all agents together never
/// exceed the store's limit, at the price of waiting while other parts lie idle.
class load_permits {
public:
    /// At most one load each `interval`; zero for no limit.
    explicit load_permits(duration interval) : interval_(interval) {}

    /// Takes a permit, or returns how long to wait for one; zero means granted.
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
