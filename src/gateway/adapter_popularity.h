#pragma once

#include "snipespar/time.h"

#include <map>
#include <string>
#include <string_view>

namespace snipespar::gateway {

/// Measures each adapter's share of this gateway's calls over the last few seconds.
///
/// Expected load: a few adapters get a large part of all calls, and which ones changes within
/// seconds.
class adapter_popularity {
public:
    /// Counts an arriving call; `adapter` is empty for calls of a base model.
    void on_call(std::string_view adapter, time_point now);

    /// Share of all calls, 0 to 1; 0 while there are too few calls for an estimate.
    double share(std::string_view adapter, time_point now) const;

    /// Drops adapters that are rarely used.
    void on_tick(time_point now);

private:
    /// A count that decays exponentially.
    struct decaying_count {
        double value = 0;
        time_point at;

        double value_at(time_point now) const;
        void add(time_point now);
    };

    decaying_count total_;
    std::map<std::string, decaying_count, std::less<>> adapters_;
};

} // namespace snipespar::gateway
