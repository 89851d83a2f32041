#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::sidecar {

/// How long the streams of one engine usually last from their first event, by Little's law: the
/// time that calls spent running over the number of calls begun.
class run_time_estimate {
public:
    /// A prompt was given to the engine.
    void on_given() { ++begun_since_; }

    /// The engine reported this number of calls whose response has begun.
    void on_report(int running, time_point now);

    /// Zero while too few calls have begun.
    duration value() const;

private:
    time_point reported_at_;
    int running_ = 0;
    std::uint64_t begun_since_ = 0;
    /// Sums over the last seconds; older parts count less.
    double run_s_ = 0;
    double begun_ = 0;
};

} // namespace snipespar::sidecar
