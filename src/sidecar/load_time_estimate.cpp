#include "sidecar/load_time_estimate.h"

#include <algorithm>
#include <chrono>

namespace snipespar::sidecar {

namespace {

constexpr double smoothing = 0.3;
// The weight store counts as busy when loads take this multiple of the shortest one.
constexpr double busy_factor = 1.4;
// Loads that differ by more than this did not both come from the store: one from the engine's
// memory is ten times as fast, and a busy store is up to four times as slow.
constexpr double different_source_factor = 5;
// Loads in a row that contradict the estimate before it follows them. A single one was from the
// engine's memory or held up.
constexpr int contradictions_to_follow = 2;

} // namespace

void load_time_estimate::on_loaded(duration took)
{
    const double took_s = std::chrono::duration<double>(took).count();
    if (took_s <= 0) {
        return;
    }
    const bool is_contradiction = is_known() && (took_s * different_source_factor < shortest_s_ ||
                                                 took_s > shortest_s_ * different_source_factor);
    if (is_contradiction && ++contradictions_ < contradictions_to_follow) {
        return;
    }
    contradictions_ = 0;
    if (!is_known() || is_contradiction) {
        usual_s_ = took_s;
        shortest_s_ = took_s;
        return;
    }
    usual_s_ += smoothing * (took_s - usual_s_);
    shortest_s_ = std::min(shortest_s_, took_s);
}

bool load_time_estimate::is_store_busy() const
{
    return usual_s_ > busy_factor * shortest_s_;
}

} // namespace snipespar::sidecar
