#pragma once

#include "snipespar/time.h"

#include <algorithm>
#include <cmath>

namespace snipespar::gateway {

/// Mean of samples whose weight halves with each half-life, drawn towards a prior that counts as
/// some samples. It returns to the prior while there are no samples.
class decaying_mean {
public:
    decaying_mean(duration half_life, double prior, double prior_weight)
        : half_life_(half_life), prior_(prior), prior_weight_(prior_weight)
    {
    }

    void add(double sample, time_point now)
    {
        const double kept = kept_at(now);
        sum_ = sum_ * kept + sample;
        weight_ = weight_ * kept + 1;
        at_ = std::max(at_, now);
    }

    double value(time_point now) const
    {
        const double kept = kept_at(now);
        const double weight = weight_ * kept + prior_weight_;
        return weight > 0 ? (sum_ * kept + prior_ * prior_weight_) / weight : prior_;
    }

    /// Number of samples that the mean is worth, without the prior.
    double weight(time_point now) const { return weight_ * kept_at(now); }

private:
    double kept_at(time_point now) const
    {
        return std::exp2(-std::max(std::chrono::duration<double>(now - at_) / half_life_, 0.0));
    }

    duration half_life_;
    double prior_;
    double prior_weight_;
    double sum_ = 0;
    double weight_ = 0;
    time_point at_;
};

} // namespace snipespar::gateway
