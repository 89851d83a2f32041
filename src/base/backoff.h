#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <random>

namespace snipespar {

/// Exponential backoff with jitter; the same seed gives the same delays.
class backoff {
public:
    backoff(duration initial, duration maximum, std::uint64_t seed)
        : initial_(initial), maximum_(maximum), limit_(initial), random_(seed)
    {
    }

    /// The delay before the next attempt: uniform between half the limit and the limit, which then
    /// doubles up to the maximum.
    duration next()
    {
        std::uniform_int_distribution<duration::rep> spread(limit_.count() / 2, limit_.count());
        const duration wait(spread(random_));
        limit_ = std::min(2 * limit_, maximum_);
        return wait;
    }

    void reset() { limit_ = initial_; }

private:
    duration initial_;
    duration maximum_;
    duration limit_;
    std::mt19937_64 random_;
};

} // namespace snipespar
