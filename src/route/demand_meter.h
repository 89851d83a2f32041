#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <unordered_map>

namespace snipespar::route {

/// Exponentially decaying rate of tokens requested per adapter at this entry.
class demand_meter {
public:
    /// Without new requests a rate halves every `half_life`.
    explicit demand_meter(duration half_life = std::chrono::seconds(10));

    /// Records a request and returns the adapter's rate in tokens per second.
    double on_request(std::uint64_t adapter_hash, std::uint64_t tokens, time_point now);

    /// Current rate of an adapter in tokens per second.
    double rate(std::uint64_t adapter_hash, time_point now) const;

    /// Erases adapters whose rate is below `min_rate`; to be called periodically.
    void erase_below(double min_rate, time_point now);

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
