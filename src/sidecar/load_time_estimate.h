#pragma once

#include "snipespar/time.h"

namespace snipespar::sidecar {

/// How long an engine's loads from the weight store take, and whether the store is busy.
///
/// Engines load adapters that they held lately from their own memory, ten times as fast, and do not
/// say so. Such loads tell nothing about the store. Nor does a single one that was held up.
class load_time_estimate {
public:
    /// A load took so long that is not known to have come from the engine's memory.
    void on_loaded(duration took);

    bool is_known() const { return usual_s_ > 0; }

    /// Smoothed time of one load from the store, in seconds; 0 while unknown.
    double usual_s() const { return usual_s_; }

    /// Whether loads take longer than on an idle store.
    bool is_store_busy() const;

private:
    double usual_s_ = 0;
    /// Shortest load from the store.
    double shortest_s_ = 0;
    /// Loads in a row that did not come from the same source as the shortest one.
    int contradictions_ = 0;
};

} // namespace snipespar::sidecar
