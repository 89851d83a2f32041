#pragma once

#include "snipespar/time.h"

#include <map>
#include <string>
#include <string_view>

namespace snipespar::gateway {

/// Measures which share of this gateway's calls each adapter draws, over the last few seconds.
///
/// Pattern: a few adapters draw a large part of all calls, and which ones changes within seconds.
class adapter_popularity {
public:
    /// A call for the adapter has arrived; `adapter` is empty for a call of a base model.
    void note(std::string_view adapter, time_point now);

    /// Share of all calls, 0 to 1; 0 while there are too few calls to tell.
    double share(std::string_view adapter, time_point now) const;

    /// Forgets adapters that are hardly asked for.
    void on_tick(time_point now);

private:
    /// A count that fades with time.
    struct fading_count {
        double value = 0;
        time_point at;

        double value_at(time_point now) const;
        void add(time_point now);
    };

    fading_count total_;
    std::map<std::string, fading_count, std::less<>> adapters_;
};

} // namespace snipespar::gateway
