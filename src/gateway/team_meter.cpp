#include "gateway/team_meter.h"

#include "control/gateway_usage.h"

#include <algorithm>
#include <cmath>

namespace snipespar::gateway {

namespace {

// Report intervals after which a gateway counts as unresponsive: one report may be lost.
constexpr int missed_intervals = 2;
constexpr auto min_unresponsive_time = std::chrono::milliseconds(800);
// A gateway without reports for longer has most likely been removed. Until then it may be serving
// behind a cut.
constexpr auto peer_expiry = std::chrono::minutes(10);
// Time constant of the recent use: about the time in which a missing gateway is noticed.
constexpr double recent_use_s = 1.6;
// A fresh process takes no whole burst: others may just have used it.
constexpr double initial_share = 0.25;
// Largest debt, in bursts.
constexpr double max_debt = 4;
// Unreported tokens that matter, as a share of the burst, summed over all gateways.
constexpr double surge_share = 0.5;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void team_meter::refill(bucket& item, time_point now) const
{
    if (now > item.refilled) {
        const double passed = seconds(now - item.refilled);
        item.level = std::min(item.level + share_ * item.rate_per_s * passed,
                              std::max(item.level, share_ * item.capacity));
        item.recent_use *= std::exp(-passed / recent_use_s);
        item.refilled = now;
    }
}

void team_meter::charge(bucket& item, double tokens, double lowest_level) const
{
    item.level = std::clamp(item.level - tokens, std::min(lowest_level, item.level),
                            std::max(item.level, share_ * item.capacity));
    item.recent_use = std::max(item.recent_use + tokens, 0.0);
}

void team_meter::set_limits(const fleet_config& config, time_point now)
{
    std::map<std::string, bucket> next;
    for (const auto& team : config.content().teams) {
        if (team.rate_per_s <= 0) {
            continue;
        }
        const double capacity = std::max(team.burst, team.rate_per_s);
        const auto known = buckets_.find(team.id.str());
        bucket item{team.rate_per_s, capacity, initial_share * share_ * capacity, now, 0};
        if (known != buckets_.end()) {
            refill(known->second, now);
            item.level = std::clamp(known->second.level, -max_debt * capacity, share_ * capacity);
            item.recent_use = known->second.recent_use;
        }
        next.emplace(team.id.str(), item);
    }
    buckets_ = std::move(next);
}

std::optional<duration> team_meter::admit(const team_id& team, std::uint64_t tokens, time_point now)
{
    const auto found = buckets_.find(team.str());
    const auto amount = static_cast<double>(tokens);
    if (found != buckets_.end()) {
        auto& item = found->second;
        refill(item, now);
        // A call is admitted while any tokens are left and may leave a debt. Otherwise a busy
        // team's small calls would starve its large ones.
        if (item.level <= 0) {
            const double wait_s = -item.level / (share_ * item.rate_per_s);
            return duration(static_cast<duration::rep>(wait_s * 1e6) + 1);
        }
        item.level -= amount;
        item.recent_use += amount;
    }
    admitted_[team.str()] += tokens;
    return std::nullopt;
}

void team_meter::refund(const team_id& team, std::uint64_t tokens, time_point now)
{
    const auto total = admitted_.find(team.str());
    if (total == admitted_.end()) {
        return;
    }
    total->second -= std::min(total->second, tokens);
    const auto found = buckets_.find(team.str());
    if (found != buckets_.end()) {
        refill(found->second, now);
        charge(found->second, -static_cast<double>(tokens), found->second.level);
    }
}

void team_meter::on_resumed(time_point now)
{
    for (auto& [team, item] : buckets_) {
        item.level = std::min(item.level, 0.0);
        item.refilled = now;
    }
    for (auto& [name, peer] : peers_) {
        peer.is_baseline_due = true;
        peer.is_missing = false;
        peer.last_report_at = now;
    }
    share_ = present_share();
}

bool team_meter::has_surge(const std::map<std::string, std::uint64_t>& stated, int gateways) const
{
    return std::any_of(buckets_.begin(), buckets_.end(), [&](const auto& item) {
        const auto total = admitted_.find(item.first);
        const auto known = stated.find(item.first);
        const auto unreported =
            (total == admitted_.end() ? 0.0 : static_cast<double>(total->second)) -
            (known == stated.end() ? 0.0 : static_cast<double>(known->second));
        return unreported * gateways > surge_share * item.second.capacity;
    });
}

bool team_meter::has_busy_team(time_point now) const
{
    return std::any_of(buckets_.begin(), buckets_.end(), [&](const auto& item) {
        auto bucket = item.second;
        refill(bucket, now);
        return bucket.level < share_ * bucket.capacity / 2;
    });
}

double team_meter::present_share() const
{
    const auto missing =
        std::ranges::count_if(peers_, [](const auto& item) { return item.second.is_missing; });
    const auto known = static_cast<double>(peers_.size()) + 1;
    return (known - static_cast<double>(missing)) / known;
}

void team_meter::update_share(duration silence, time_point now)
{
    const double share = present_share();
    if (share == share_) {
        return;
    }
    for (auto& [team, item] : buckets_) {
        refill(item, now);
        if (share >= share_) {
            continue;
        }
        // The level that the bucket would have, had it had the new share since the last report of
        // those that have gone missing.
        const double passed = seconds(silence);
        const double use = item.recent_use * std::min(passed / recent_use_s, 1.0);
        const double income = share_ * item.rate_per_s * passed;
        const double before = std::min(item.level - income + use, share_ * item.capacity - income);
        const double level = share / share_ * (before + income) - use;
        item.level = std::min({item.level, level, share * item.capacity});
    }
    share_ = share;
}

void team_meter::on_usage(const control::gateway_usage& usage, time_point now)
{
    auto known = peers_.find(usage.gateway);
    if (usage.is_stopping) {
        if (known != peers_.end() && known->second.start == usage.gateway_start) {
            peers_.erase(known);
            update_share({}, now);
        }
        return;
    }
    if (known != peers_.end() &&
        (known->second.start > usage.gateway_start || (known->second.start == usage.gateway_start &&
                                                       known->second.sequence >= usage.sequence))) {
        return;
    }
    const bool is_same_process =
        known != peers_.end() && known->second.start == usage.gateway_start;
    const bool was_complete = is_same_process && known->second.is_complete;
    const bool is_baseline_due = is_same_process && known->second.is_baseline_due;
    const bool was_missing = known != peers_.end() && known->second.is_missing;
    // While it was missing, it had this part of each limit.
    const double assumed_s = was_missing ? seconds(now - known->second.last_report_at) /
                                               (static_cast<double>(peers_.size()) + 1)
                                         : 0;
    peer next{.start = usage.gateway_start,
              .sequence = usage.sequence,
              .last_report_at = now,
              .report_interval = usage.report_interval,
              .is_complete = was_complete || usage.is_complete,
              .totals = {}};
    if (is_same_process) {
        next.totals = std::move(known->second.totals);
    }
    const bool is_new = known == peers_.end();
    auto& current = peers_[usage.gateway] = std::move(next);
    if (is_new || was_missing) {
        update_share({}, now);
    }
    for (const auto& [team, total] : usage.team_tokens) {
        const auto [last, is_first] = current.totals.try_emplace(team);
        // The first total of a peer that started before this process is a baseline, not a charge.
        const bool is_baseline =
            is_baseline_due || (is_first && !was_complete && usage.gateway_start < start_);
        const auto before = is_baseline ? total : last->second;
        // A refund lowers the total.
        const auto increase = static_cast<double>(total) - static_cast<double>(before);
        last->second = total;
        const auto item = buckets_.find(team);
        if (item != buckets_.end()) {
            refill(item->second, now);
            charge(item->second, increase - assumed_s * item->second.rate_per_s,
                   -max_debt * item->second.capacity);
        }
    }
}

void team_meter::on_tick(time_point now)
{
    const auto expired = std::erase_if(
        peers_, [&](const auto& item) { return now - item.second.last_report_at > peer_expiry; });
    duration silence{};
    for (auto& [name, peer] : peers_) {
        const auto unresponsive_after =
            std::max<duration>(missed_intervals * peer.report_interval, min_unresponsive_time);
        const auto passed = now - peer.last_report_at;
        if (!peer.is_missing && passed > unresponsive_after) {
            peer.is_missing = true;
            silence = std::max(silence, passed);
        }
    }
    if (expired != 0 || silence > duration{}) {
        update_share(silence, now);
    }
}

} // namespace snipespar::gateway
