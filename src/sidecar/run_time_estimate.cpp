#include "sidecar/run_time_estimate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipespar::sidecar {

namespace {

// Several times what a long stream lasts, so that calls begun and calls running match.
constexpr double memory_s = 15;
// A longer interval was a standstill, in which neither figure is known.
constexpr double max_interval_s = 1;
constexpr double min_begun = 10;

} // namespace

void run_time_estimate::on_report(int running, time_point now)
{
    const double passed_s = std::chrono::duration<double>(now - reported_at_).count();
    reported_at_ = now;
    const auto begun = static_cast<double>(std::exchange(begun_since_, 0));
    const int running_before = std::exchange(running_, std::max(running, 0));
    if (passed_s <= 0 || passed_s > max_interval_s) {
        return;
    }
    const double kept = std::exp(-passed_s / memory_s);
    run_s_ = run_s_ * kept + passed_s * (running_before + running_) / 2.0;
    begun_ = begun_ * kept + begun;
}

duration run_time_estimate::value() const
{
    if (begun_ < min_begun) {
        return {};
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(run_s_ / begun_));
}

} // namespace snipespar::sidecar
