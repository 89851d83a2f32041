#include "platform/watch_plan.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipespar::platform {

namespace {

// Retry delays while the store is unreachable; the maximum keeps recovery within a second.
constexpr auto initial_retry_delay = std::chrono::milliseconds(100);
constexpr auto max_retry_delay = std::chrono::milliseconds(800);

// The store usually responds within 4 ms, and within 250 ms when it is slow.
constexpr auto response_timeout = std::chrono::milliseconds(1500);
// The end of a poll's wait is known, so that a late response is noticed sooner. One that was only
// slow costs another read, which gets the usual time.
constexpr auto overdue_timeout = watch_plan::max_repeat_delay - initial_retry_delay;

// A list that cannot be read to its end is read again rarely, as it ends the same way while the
// objects that cut it stand.
constexpr auto initial_list_delay = std::chrono::seconds(2);
constexpr auto max_list_delay = std::chrono::seconds(30);

} // namespace

watch_plan::watch_plan(watch_timing timing, std::uint64_t seed)
    : timing_(timing), retry_backoff_(initial_retry_delay, max_retry_delay, seed),
      list_backoff_(initial_list_delay, max_list_delay, seed)
{
}

std::optional<planned_read> watch_plan::next(time_point now)
{
    if (current_) {
        if (!replaced_at_ || now < *replaced_at_) {
            return std::nullopt;
        }
        cause_ = read_cause::wish;
        is_catch_up_wanted_ = true;
    }
    else if (now < next_start_at_) {
        return std::nullopt;
    }
    replaced_at_.reset();
    is_hurried_ = false;
    auto kind = read_kind::list;
    duration wait{};
    if (position_.is_listed() && list_due_at_ && now >= *list_due_at_) {
        cause_ = cause_ == read_cause::next ? read_cause::incomplete : cause_;
    }
    else if (position_.is_listed()) {
        kind = std::exchange(is_catch_up_wanted_, false) ? read_kind::catch_up : read_kind::poll;
        if (kind == read_kind::poll) {
            wait =
                list_due_at_ ? std::min(*list_due_at_ - now, timing_.poll_wait) : timing_.poll_wait;
        }
    }
    const auto timeout = kind == read_kind::poll ? overdue_timeout : response_timeout;
    current_ = current_read{++last_number_, kind, now, false};
    return planned_read{last_number_,         kind, std::exchange(cause_, read_cause::next),
                        position_.revision(), wait, wait + timeout};
}

std::optional<time_point> watch_plan::next_at() const
{
    return current_ ? replaced_at_ : std::optional(next_start_at_);
}

bool watch_plan::is_current(std::uint64_t number) const
{
    return current_ && current_->number == number;
}

bool watch_plan::on_bytes(std::uint64_t number)
{
    if (!is_current(number)) {
        return false;
    }
    current_->has_bytes = true;
    if (replaced_at_.has_value()) {
        replaced_at_.reset();
        is_hurried_ = true;
    }
    return true;
}

watch_position::era_change watch_plan::on_era(std::optional<std::uint64_t> era)
{
    return position_.on_era(era);
}

void watch_plan::on_used(std::uint64_t number, std::uint64_t revision, time_point now)
{
    if (!is_current(number)) {
        return;
    }
    if (current_->kind == read_kind::list) {
        position_.on_listed(revision);
        list_due_at_.reset();
        list_backoff_.reset();
    }
    else {
        position_.on_polled(revision);
    }
    end_used(now);
}

void watch_plan::on_used_in_part(std::uint64_t number, std::uint64_t revision, time_point now)
{
    if (!is_current(number)) {
        return;
    }
    position_.on_listed(revision);
    list_due_at_ = now + list_backoff_.next();
    end_used(now);
}

void watch_plan::end_used(time_point now)
{
    current_.reset();
    replaced_at_.reset();
    is_retrying_ = false;
    retry_backoff_.reset();
    cause_ = is_catch_up_wanted_ ? read_cause::wish : read_cause::next;
    next_start_at_ = is_catch_up_wanted_ || is_hurried_ ? now : now + timing_.poll_delay;
}

void watch_plan::on_failed(std::uint64_t number, read_failure failure, time_point now)
{
    if (!is_current(number)) {
        return;
    }
    const auto began = current_->began;
    const bool was_poll = current_->kind == read_kind::poll;
    current_.reset();
    replaced_at_.reset();
    switch (failure) {
    case read_failure::restored:
        position_.invalidate();
        cause_ = read_cause::restored;
        next_start_at_ = now;
        return;
    case read_failure::history_lost:
        position_.invalidate();
        cause_ = read_cause::history_lost;
        break;
    case read_failure::unavailable:
        cause_ = read_cause::retry;
        // What was missed is read without waiting for the next change.
        is_catch_up_wanted_ = is_catch_up_wanted_ || was_poll;
        break;
    }
    is_retrying_ = true;
    // Pauses are counted from the start of the read: one that was waited for in vain has paused.
    const auto pause = retry_backoff_.next();
    next_start_at_ = std::max(began + pause, now + std::min<duration>(pause, initial_retry_delay));
}

void watch_plan::read_again(duration patience, time_point now)
{
    const bool is_immediate = patience <= duration{};
    if (!current_) {
        is_catch_up_wanted_ = true;
        if (!is_retrying_) {
            cause_ = read_cause::wish;
            next_start_at_ = std::min(next_start_at_, now);
        }
    }
    else if (current_->kind == read_kind::poll && !current_->has_bytes) {
        replaced_at_ = std::min(replaced_at_.value_or(now + patience), now + patience);
    }
    else if (is_immediate) {
        is_catch_up_wanted_ = true;
    }
    else {
        is_hurried_ = true;
    }
}

void watch_plan::list_again(std::uint64_t era, time_point now)
{
    if (position_.era() && *position_.era() >= era) {
        return;
    }
    position_.invalidate();
    current_.reset();
    replaced_at_.reset();
    cause_ = read_cause::restored;
    next_start_at_ = now;
}

} // namespace snipespar::platform
