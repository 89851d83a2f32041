#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <random>

namespace snipespar {

/// Exponential backoff with full jitter, the same for the same seed.
class backoff {
public:
    backoff(duration first, duration longest, std::uint64_t seed)
        : first_(first), longest_(longest), limit_(first), random_(seed)
    {
    }

    /// The wait before the next try: uniform between half the limit and the limit, which doubles.
    duration next()
    {
        std::uniform_int_distribution<duration::rep> spread(limit_.count() / 2, limit_.count());
        const duration wait(spread(random_));
        limit_ = std::min(2 * limit_, longest_);
        return wait;
    }

    void reset() { limit_ = first_; }

private:
    duration first_;
    duration longest_;
    duration limit_;
    std::mt19937_64 random_;
};

} // namespace snipespar
