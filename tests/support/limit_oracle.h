#pragma once

#include "limits/limit_spec.h"
#include "snipespar/time.h"

#include <algorithm>

namespace snipespar::limits {

/// One bucket for the whole fleet, independent of the nodes' state: after each delivery, `excess`
/// is the largest value over all past windows of delivered - rate * window - burst.
class limit_oracle {
public:
    explicit limit_oracle(limit_spec spec) : spec_(std::move(spec)) {}

    void deliver(time_point now, micro_tokens amount)
    {
        const auto elapsed = (now - last_).count();
        const micro_tokens drained = drain(elapsed);
        in_window_ = std::max<micro_tokens>(0, in_window_ - drained) + amount;
        last_ = now;
        total_ += amount;
        excess_ = std::max(excess_, in_window_ - spec_.capacity);
    }

    micro_tokens excess() const { return excess_; }
    micro_tokens total() const { return total_; }

private:
    micro_tokens drain(micro_tokens elapsed_us)
    {
        constexpr micro_tokens us_per_s = 1'000'000;
        const micro_tokens part = spec_.rate_per_s * (elapsed_us % us_per_s) + remainder_;
        remainder_ = part % us_per_s;
        return spec_.rate_per_s * (elapsed_us / us_per_s) + part / us_per_s;
    }

    limit_spec spec_;
    time_point last_;
    micro_tokens in_window_ = 0;
    micro_tokens remainder_ = 0;
    micro_tokens total_ = 0;
    micro_tokens excess_ = -spec_.capacity;
};

} // namespace snipespar::limits
