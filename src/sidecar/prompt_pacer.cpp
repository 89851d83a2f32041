#include "sidecar/prompt_pacer.h"

#include <algorithm>
#include <utility>

namespace snipespar::sidecar {

namespace {

using verdict = control::admission_answer::verdict;
using std::chrono::milliseconds;

// A longer pause, relative to the target, comes from a frozen host or a broken path, not from
// prompts.
constexpr int max_pause_factor = 3;
// Two pauses within this time set the first limit; a single one may be an accident of the network.
constexpr auto pause_evidence_time = milliseconds(2000);
// The first limit is at most this part of the load that caused it.
constexpr double first_limit_share = 0.5;
// Span of a load before any pause has told a target.
constexpr auto initial_window = milliseconds(400);
// How long loads are remembered.
constexpr auto load_lifetime = std::chrono::seconds(15);
constexpr double lower_factor = 0.8;
// Distance that the limit keeps from one at which streams paused.
constexpr double ceiling_share = 0.95;
// Prompts given before the limit was lowered are still read for so long.
constexpr auto settling_time = milliseconds(800);
// The limit rises by these shares a second while it binds and no stream pauses.
constexpr double rise_per_s = 0.05;
constexpr double rise_above_ceiling_per_s = 0.005;
// A limit that has not bound for so long is dropped.
constexpr auto unused_limit_lifetime = std::chrono::seconds(20);
// Calls of average size that may always be given within one window.
constexpr double lowest_limit_calls = 2;
// Parts of an event's time that may always be spent on prompts, while streams span many of them and
// while they span one at most. The rest is for the steps of the event and for prompts given before
// that are still being read: a stream waits for both.
constexpr double free_read_share_of_long_streams = 0.5;
constexpr double free_read_share_of_short_streams = 0.8;
// How long tokens given and tickets granted are remembered, in windows.
constexpr int remembered_windows = 3;
constexpr auto granted_lifetime = std::chrono::seconds(2);

constexpr double ms_per_s = 1000;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void prompt_pacer::on_sent(std::uint64_t tokens, time_point now)
{
    give(tokens, now);
}

void prompt_pacer::on_pause(duration gap, duration target, time_point now)
{
    if (target <= duration{} || gap > max_pause_factor * target) {
        return;
    }
    window_ = window_ == duration{} ? target : std::min(window_, target);
    if (limit_) {
        // Prompts given before the limit was lowered are still read, and a pause while the limit
        // does not bind has another cause.
        if (now - lowered_at_ > settling_time && now - bound_at_ < settling_time) {
            ceiling_ = *limit_ * ceiling_share;
            limit_ = std::max(*limit_ * lower_factor, lowest_limit());
            lowered_at_ = now;
        }
        return;
    }
    const auto [paused, carried] = loads_around_pause(now - gap - window_, now);
    if (carried == 0 || paused <= carried) {
        return;
    }
    if (!first_pause_at_ || now - *first_pause_at_ > pause_evidence_time) {
        first_pause_at_ = now;
        return;
    }
    if (now - *first_pause_at_ < window_) {
        return;
    }
    limit_ = std::max(std::min(carried, first_limit_share * paused), lowest_limit());
    ceiling_ = *limit_;
    lowered_at_ = now;
    adjusted_at_ = now;
    bound_at_ = now;
}

// The largest load within the span of a pause, and the largest one outside all such spans.
std::pair<double, double> prompt_pacer::loads_around_pause(time_point from, time_point until)
{
    double paused = 0;
    double carried = 0;
    for (auto& load : loads_) {
        if (load.at >= from && load.at <= until) {
            load.has_paused = true;
            paused = std::max(paused, load.tokens);
        }
        else if (!load.has_paused) {
            carried = std::max(carried, load.tokens);
        }
    }
    return {paused, carried};
}

admission_decision prompt_pacer::ask(const admission_ticket& ticket, std::uint64_t tokens,
                                     int urgency, admission_times times, time_point now)
{
    if (granted_.contains(ticket)) {
        return {ticket, verdict::granted, {}};
    }
    if (const auto place = places_.find(ticket); place != places_.end()) {
        return {ticket, verdict::queued, expected_wait(place->second, tokens, now)};
    }
    const queue_place place{urgency, ++arrivals_};
    const bool is_next = waiting_.empty() || place < waiting_.begin()->first;
    if (!limit_ || (is_next && has_room(tokens, now))) {
        give(tokens, now);
        granted_[ticket] = now;
        return {ticket, verdict::granted, {}, tokens};
    }
    bound_at_ = now;
    const auto wait = expected_wait(place, tokens, now);
    if (wait > times.max_wait) {
        return {ticket, verdict::refused, wait - times.max_wait};
    }
    waiting_.emplace(place, waiting_call{ticket, tokens, now + times.aim, now + times.max_wait});
    places_.emplace(ticket, place);
    return {ticket, verdict::queued, wait};
}

void prompt_pacer::cancel(const admission_ticket& ticket)
{
    if (const auto place = places_.find(ticket); place != places_.end()) {
        waiting_.erase(place->second);
        places_.erase(place);
    }
}

std::vector<admission_decision> prompt_pacer::decide(time_point now)
{
    forget(now);
    adjust(now);
    std::vector<admission_decision> decisions;
    for (auto item = waiting_.begin(); item != waiting_.end();) {
        const auto next = std::next(item);
        if (now >= item->second.deadline) {
            decisions.push_back(finish(item, verdict::refused, now));
        }
        item = next;
    }
    for (auto item = next_waiting(now);
         item != waiting_.end() && (!limit_ || has_room(item->second.tokens, now));
         item = next_waiting(now)) {
        decisions.push_back(finish(item, verdict::granted, now));
    }
    return decisions;
}

// A call that can still begin in time goes before equally urgent ones that are late anyway.
prompt_pacer::queue::iterator prompt_pacer::next_waiting(time_point now)
{
    const auto first = waiting_.begin();
    for (auto item = first; item != waiting_.end() && item->first.urgency == first->first.urgency;
         ++item) {
        if (now < item->second.aim) {
            return item;
        }
    }
    return first;
}

admission_decision prompt_pacer::finish(queue::iterator item, verdict outcome, time_point now)
{
    const auto ticket = item->second.ticket;
    const auto tokens = outcome == verdict::granted ? item->second.tokens : 0;
    if (outcome == verdict::granted) {
        give(tokens, now);
        granted_[ticket] = now;
    }
    places_.erase(ticket);
    waiting_.erase(item);
    return {ticket, outcome, {}, tokens};
}

std::optional<time_point> prompt_pacer::next_decision_at(time_point now) const
{
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const auto& next = waiting_.begin()->second;
    double used = given_within_window(now);
    for (const auto& item : given_) {
        if (now - item.at >= window_) {
            continue;
        }
        used -= static_cast<double>(item.tokens);
        if (!limit_ || used + static_cast<double>(next.tokens) <= *limit_ || used <= 0) {
            return std::min(item.at + window_, next.deadline);
        }
    }
    return now;
}

void prompt_pacer::give(std::uint64_t tokens, time_point now)
{
    given_.push_back({now, tokens});
    forget(now);
    if (!limit_) {
        loads_.push_back({now, given_within_window(now), false});
    }
}

double prompt_pacer::given_within_window(time_point now) const
{
    const auto window = window_ == duration{} ? duration(initial_window) : window_;
    double sum = 0;
    for (auto item = given_.rbegin(); item != given_.rend() && now - item->at < window; ++item) {
        sum += static_cast<double>(item->tokens);
    }
    return sum;
}

double prompt_pacer::free_read_share() const
{
    if (run_time_ <= duration{} || window_ <= duration{}) {
        return free_read_share_of_long_streams;
    }
    const double windows = std::max(seconds(run_time_) / seconds(window_), 1.0);
    return free_read_share_of_long_streams +
           (free_read_share_of_short_streams - free_read_share_of_long_streams) / windows;
}

double prompt_pacer::lowest_limit() const
{
    const double read_in_window = tokens_per_ms_ * seconds(window_) * ms_per_s;
    const double unpaced = free_read_share() * read_in_window;
    if (given_.empty()) {
        return unpaced;
    }
    double sum = 0;
    for (const auto& item : given_) {
        sum += static_cast<double>(item.tokens);
    }
    return std::max(unpaced, lowest_limit_calls * sum / static_cast<double>(given_.size()));
}

// A call larger than the limit is given when nothing else is.
bool prompt_pacer::has_room(std::uint64_t tokens, time_point now) const
{
    const auto used = given_within_window(now);
    return used <= 0 || used + static_cast<double>(tokens) <= *limit_;
}

duration prompt_pacer::expected_wait(const queue_place& place, std::uint64_t tokens,
                                     time_point now) const
{
    if (!limit_) {
        return {};
    }
    double ahead = given_within_window(now) + static_cast<double>(tokens);
    for (const auto& [other, call] : waiting_) {
        if (other < place) {
            ahead += static_cast<double>(call.tokens);
        }
    }
    const double windows = std::max(ahead - *limit_, 0.0) / *limit_;
    return duration(static_cast<duration::rep>(windows * static_cast<double>(window_.count())));
}

void prompt_pacer::adjust(time_point now)
{
    // Time without decisions is not time in which the limit was tried.
    const auto passed = std::min<duration>(now - std::exchange(adjusted_at_, now), window_);
    if (!limit_) {
        return;
    }
    if (tokens_per_ms_ > 0) {
        // The speed may have been measured after the limit was set. A limit that only the floor has
        // held up falls with it, as when streams have become longer.
        const double lowest = lowest_limit();
        if (*limit_ <= floor_) {
            limit_ = lowest;
        }
        limit_ = std::max(*limit_, lowest);
        floor_ = lowest;
    }
    if (!waiting_.empty()) {
        bound_at_ = now;
    }
    if (now - bound_at_ > unused_limit_lifetime) {
        limit_.reset();
        loads_.clear();
        first_pause_at_.reset();
        return;
    }
    if (now - bound_at_ < window_ && now - lowered_at_ > settling_time) {
        const double rise = *limit_ < ceiling_ ? rise_per_s : rise_above_ceiling_per_s;
        *limit_ *= 1 + rise * seconds(passed);
    }
}

void prompt_pacer::forget(time_point now)
{
    const auto kept = std::max<duration>(remembered_windows * window_, std::chrono::seconds(1));
    while (!given_.empty() && now - given_.front().at > kept) {
        given_.pop_front();
    }
    while (!loads_.empty() && now - loads_.front().at > load_lifetime) {
        loads_.pop_front();
    }
    std::erase_if(granted_, [&](const auto& item) { return now - item.second > granted_lifetime; });
}

} // namespace snipespar::sidecar
