#include "limits/token_bucket.h"

#include <algorithm>
#include <cassert>

namespace snipespar::limits {

namespace {

constexpr micro_tokens microseconds_per_s = 1'000'000;

} // namespace

token_bucket::token_bucket(limit_form form, time_point now) : form_(form), refilled_(now) {}

micro_tokens token_bucket::max_level() const
{
    return std::max<micro_tokens>(0, capacity_ - held_);
}

micro_tokens token_bucket::room() const
{
    return std::max<micro_tokens>(0, capacity_ - held_ - level_);
}

micro_tokens token_bucket::accrue(duration elapsed)
{
    const micro_tokens seconds = elapsed.count() / microseconds_per_s;
    if (rate_per_s_ > 0 && seconds > max_amount / rate_per_s_) {
        remainder_ = 0;
        return max_amount;
    }
    const micro_tokens part = rate_per_s_ * (elapsed.count() % microseconds_per_s) + remainder_;
    remainder_ = part % microseconds_per_s;
    return rate_per_s_ * seconds + part / microseconds_per_s;
}

void token_bucket::refill(time_point now)
{
    const duration elapsed = now - refilled_;
    if (elapsed > duration::zero()) {
        refilled_ = now;
        level_ += accrue(elapsed);
    }
    if (form_ == limit_form::concurrency || level_ >= max_level()) {
        level_ = max_level();
        remainder_ = 0;
    }
    assert(level_ == 0 || level_ + held_ <= capacity_);
}

bool token_bucket::reserve(time_point now, micro_tokens amount)
{
    assert(amount >= 0);
    refill(now);
    if (amount > level_) {
        return false;
    }
    level_ -= amount;
    held_ += amount;
    return true;
}

void token_bucket::deliver(time_point now, micro_tokens amount)
{
    assert(amount >= 0 && amount <= held_);
    refill(now);
    held_ -= amount;
}

void token_bucket::release(time_point now, micro_tokens amount)
{
    assert(amount >= 0 && amount <= held_);
    refill(now);
    held_ -= amount;
    level_ = std::min(level_ + amount, max_level());
}

void token_bucket::set_rate(time_point now, micro_tokens rate_per_s)
{
    assert(rate_per_s >= 0 && rate_per_s <= max_amount);
    refill(now);
    rate_per_s_ = rate_per_s;
    remainder_ = 0;
}

void token_bucket::set_form(time_point now, limit_form form)
{
    refill(now);
    form_ = form;
}

void token_bucket::set_capacity(time_point now, micro_tokens capacity)
{
    refill(now);
    capacity_ = capacity;
    level_ = std::min(level_, max_level());
}

void token_bucket::add_level(time_point now, micro_tokens amount)
{
    assert(amount >= 0);
    refill(now);
    level_ = std::min(level_ + amount, max_level());
}

micro_tokens token_bucket::take_level(time_point now, micro_tokens amount)
{
    refill(now);
    const micro_tokens taken = std::clamp<micro_tokens>(amount, 0, level_);
    level_ -= taken;
    return taken;
}

} // namespace snipespar::limits
