#pragma once

#include "limits/amount.h"
#include "limits/limit_spec.h"
#include "snipespar/time.h"

namespace snipespar::limits {

/// A token bucket that bounds what is delivered rather than what is admitted. Reserved tokens keep
/// their place in the bucket until they are delivered, so over any window of length w no more than
/// rate * w + capacity is delivered, however long a request runs. Level and held tokens never
/// exceed the capacity together. A clock that goes backwards adds nothing.
class token_bucket {
public:
    token_bucket() = default;

    /// An empty bucket of capacity zero whose refill starts at `now`.
    token_bucket(limit_form form, time_point now);

    /// Takes `amount` out of the level and holds it; false, and unchanged, when the level is short.
    bool reserve(time_point now, micro_tokens amount);

    /// Held tokens reached their receiver: they leave the bucket and make room for new ones.
    void deliver(time_point now, micro_tokens amount);

    /// Held tokens will not be used: they return to the level.
    void release(time_point now, micro_tokens amount);

    /// Changes the refill rate from `now` on, in micro-tokens a second.
    void set_rate(time_point now, micro_tokens rate_per_s);

    /// Changes how tokens come back from `now` on.
    void set_form(time_point now, limit_form form);

    /// Changes the capacity and cuts the level to what then fits. A negative capacity is a debt:
    /// nothing fits until it is paid.
    void set_capacity(time_point now, micro_tokens capacity);

    /// Adds tokens that came from another bucket; what does not fit is lost.
    void add_level(time_point now, micro_tokens amount);

    /// Removes up to `amount` from the level and returns how much was removed.
    micro_tokens take_level(time_point now, micro_tokens amount);

    /// Adds the tokens that arrived until `now`.
    void refill(time_point now);

    micro_tokens level() const { return level_; }
    micro_tokens held() const { return held_; }
    micro_tokens capacity() const { return capacity_; }
    micro_tokens rate_per_s() const { return rate_per_s_; }

    /// Capacity that neither free nor held tokens fill.
    micro_tokens room() const;

    friend bool operator==(const token_bucket&, const token_bucket&) = default;

private:
    micro_tokens max_level() const;
    micro_tokens accrue(duration elapsed);

    limit_form form_ = limit_form::rate;
    micro_tokens rate_per_s_ = 0;
    micro_tokens capacity_ = 0;
    micro_tokens level_ = 0;
    micro_tokens held_ = 0;
    /// Millionths of a micro-token that arrived and are not yet counted.
    micro_tokens remainder_ = 0;
    time_point refilled_;
};

} // namespace snipespar::limits
