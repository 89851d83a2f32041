#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <unordered_map>

namespace snipespar::route {

/// Exponentially decaying rate of tokens asked of each adapter at this entry.
class demand_meter {
public:
    /// A rate that nothing renews halves in each `half_life`.
    explicit demand_meter(duration half_life = std::chrono::seconds(10));

    /// Counts a request and returns the adapter's rate in tokens a second.
    double on_request(std::uint64_t adapter_hash, std::uint64_t tokens, time_point now);

    /// Tokens a second asked of an adapter lately.
    double rate(std::uint64_t adapter_hash, time_point now) const;

    /// Forgets the adapters whose rate fell below `floor`; to be called now and then.
    void forget_below(double floor, time_point now);

    std::size_t size() const { return samples_.size(); }

private:
    struct sample {
        double amount = 0;
        time_point at;
    };

    double decayed(const sample& entry, time_point now) const;

    double decay_per_s_;
    std::unordered_map<std::uint64_t, sample> samples_;
};

} // namespace snipespar::route
