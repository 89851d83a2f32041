#pragma once

#include "limits/amount.h"
#include "limits/limit_spec.h"
#include "snipespar/time.h"

namespace snipespar::limits {

/// A token bucket that bounds what is delivered rather than what is admitted. Reserved tokens
/// occupy capacity until they are delivered, so over any window of length w at most rate * w +
/// capacity is delivered, however long a request runs. Level and held tokens together never exceed
/// the capacity. A clock that goes backwards adds nothing.
class token_bucket {
public:
    token_bucket() = default;

    /// An empty bucket of capacity zero whose refill starts at `now`.
    token_bucket(limit_form form, time_point now);

    /// Moves `amount` from the level to the held tokens. Returns false and changes nothing if the
    /// level is too low.
    bool reserve(time_point now, micro_tokens amount);

    /// Removes held tokens that were delivered, which makes room for new ones.
    void deliver(time_point now, micro_tokens amount);

    /// Returns unused held tokens to the level.
    void release(time_point now, micro_tokens amount);

    /// Changes the refill rate from `now` on, in micro-tokens per second.
    void set_rate(time_point now, micro_tokens rate_per_s);

    /// Changes how used tokens become available again, from `now` on.
    void set_form(time_point now, limit_form form);

    /// Changes the capacity and reduces the level to fit. A negative capacity is a debt: nothing
    /// fits until it is settled.
    void set_capacity(time_point now, micro_tokens capacity);

    /// Adds tokens from another bucket; what does not fit is lost.
    void add_level(time_point now, micro_tokens amount);

    /// Removes up to `amount` from the level and returns how much was removed.
    micro_tokens take_level(time_point now, micro_tokens amount);

    /// Adds the tokens that accrued until `now`.
    void refill(time_point now);

    micro_tokens level() const { return level_; }
    micro_tokens held() const { return held_; }
    micro_tokens capacity() const { return capacity_; }
    micro_tokens rate_per_s() const { return rate_per_s_; }

    /// Capacity that neither free nor held tokens occupy.
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
    /// Millionths of a micro-token that accrued and are not yet counted.
    micro_tokens remainder_ = 0;
    time_point refilled_;
};

} // namespace snipespar::limits
