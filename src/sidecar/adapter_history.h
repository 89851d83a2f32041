#pragma once

#include "snipespar/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace snipespar::sidecar {

/// Counts the calls that all gateways send to one engine for each adapter; older ones count less.
///
/// The pattern that this answers: far more adapters are asked for than an engine has slots, a few
/// of them much more often than the others, and which ones these are changes within seconds. The
/// time of the last use does not tell an adapter that is used all the time from one that a single
/// call has just brought in.
class adapter_history {
public:
    void on_calls(std::string_view adapter, int calls, time_point now);

    /// Decayed number of calls, which is proportional to those expected next.
    double calls(std::string_view adapter, time_point now) const;

    std::size_t size() const { return counts_.size(); }

private:
    struct decayed_count {
        double value = 0;
        time_point at;

        double value_at(time_point now) const;
    };

    void forget(time_point now);

    std::map<std::string, decayed_count, std::less<>> counts_;
};

} // namespace snipespar::sidecar
