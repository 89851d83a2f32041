#include "telemetry/summary.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <utility>
#include <vector>

namespace snipespar::telemetry {

namespace accumulators = boost::accumulators;

namespace {

using accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::max,
                                accumulators::tag::extended_p_square>>;

// Up to this many samples, percentiles are exact; the estimator needs more samples than its nine
// markers.
constexpr std::size_t exact_samples = 64;

} // namespace

// Samples of one time window.
class summary::window {
public:
    window() : estimator_(accumulators::tag::extended_p_square::probabilities = probabilities)
    {
        samples_.reserve(exact_samples);
    }

    void record(double value)
    {
        estimator_(value);
        if (samples_.size() < exact_samples) {
            samples_.push_back(value);
        }
    }

    std::size_t count() const { return accumulators::count(estimator_); }

    double max() const { return count() == 0 ? 0 : accumulators::max(estimator_); }

    double quantile(std::size_t index) const
    {
        if (count() <= exact_samples) {
            return exact(probabilities.at(index));
        }
        return accumulators::extended_p_square(estimator_)[static_cast<std::ptrdiff_t>(index)];
    }

private:
    // Nearest-rank percentile of the stored samples.
    double exact(double probability) const
    {
        if (samples_.empty()) {
            return 0;
        }
        auto sorted = samples_;
        std::sort(sorted.begin(), sorted.end());
        const double rank = std::ceil(probability * static_cast<double>(sorted.size()));
        return sorted.at(std::max<std::size_t>(static_cast<std::size_t>(rank), 1) - 1);
    }

    accumulator estimator_;
    std::vector<double> samples_;
};

summary::summary() : current_(std::make_unique<window>()) {}

summary::~summary() = default;

void summary::record(double value)
{
    const std::lock_guard lock(mutex_);
    ++count_;
    sum_ += value;
    current_->record(value);
}

void summary::rotate()
{
    auto next_window = std::make_unique<window>();
    const std::lock_guard lock(mutex_);
    last_ = std::exchange(current_, std::move(next_window));
}

summary::report summary::read() const
{
    const std::lock_guard lock(mutex_);
    const auto& shown = last_ ? *last_ : *current_;
    report result{.count = count_, .sum = sum_, .quantiles = {}, .max = shown.max()};
    for (std::size_t i = 0; i < probabilities.size(); ++i) {
        result.quantiles.at(i) = shown.quantile(i);
    }
    return result;
}

} // namespace snipespar::telemetry
