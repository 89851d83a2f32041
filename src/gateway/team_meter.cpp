#include "gateway/team_meter.h"

#include "control/gateway_usage.h"

#include <algorithm>

namespace snipespar::gateway {

namespace {

// Report intervals after which a gateway counts as unresponsive: one report may be lost.
constexpr int missed_intervals = 2;
constexpr auto min_unresponsive_time = std::chrono::milliseconds(800);
// A gateway without reports for longer has most likely stopped.
constexpr auto peer_expiry = std::chrono::milliseconds(4000);
// Weight of a new measurement in the smoothed rate of a peer.
constexpr double use_smoothing = 0.3;
// A fresh process takes no whole burst: others may just have used it.
constexpr double initial_share = 0.25;
// Largest debt, in bursts: of reported tokens, and of estimated ones, which may be wrong.
constexpr double max_debt = 4;
constexpr double max_estimated_debt = 1;
// Unreported tokens that matter, as a share of the burst, summed over all gateways.
constexpr double surge_share = 0.5;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void team_meter::refill(bucket& item, time_point now)
{
    if (now > item.refilled) {
        const double arrived = item.rate_per_s * seconds(now - item.refilled);
        item.level = std::min(item.level + arrived, item.capacity);
        item.refilled = now;
    }
}

void team_meter::charge(bucket& item, double tokens, double lowest_level)
{
    item.level = std::clamp(item.level - tokens, std::min(lowest_level, item.level), item.capacity);
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
        bucket item{team.rate_per_s, capacity, initial_share * capacity, now};
        if (known != buckets_.end()) {
            refill(known->second, now);
            item.level = std::clamp(known->second.level, -max_debt * capacity, capacity);
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
            const double wait_s = -item.level / item.rate_per_s;
            return duration(static_cast<duration::rep>(wait_s * 1e6) + 1);
        }
        item.level -= amount;
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
        peer.last_report_at = now;
        peer.charged_until = now;
    }
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
        return bucket.level < bucket.capacity / 2;
    });
}

void team_meter::on_usage(const control::gateway_usage& usage, time_point now)
{
    auto known = peers_.find(usage.gateway);
    if (usage.is_stopping) {
        if (known != peers_.end() && known->second.start == usage.gateway_start) {
            peers_.erase(known);
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
    peer next{.start = usage.gateway_start,
              .sequence = usage.sequence,
              .last_report_at = now,
              .charged_until = now,
              .report_interval = usage.report_interval,
              .is_baseline_due = false,
              .is_complete = was_complete || usage.is_complete,
              .teams = {}};
    const double span =
        is_same_process ? std::max(seconds(now - known->second.last_report_at), 0.05) : 0;
    if (is_same_process) {
        next.teams = std::move(known->second.teams);
        for (auto& [team, use] : next.teams) {
            if (!usage.team_tokens.contains(team)) {
                use.rate -= use_smoothing * use.rate;
            }
        }
    }
    for (const auto& [team, total] : usage.team_tokens) {
        const auto [last, is_first] = next.teams.try_emplace(team);
        // The first total of a peer that started before this process is a baseline, not a charge.
        const bool is_baseline =
            is_baseline_due || (is_first && !was_complete && usage.gateway_start < start_);
        const auto before = is_baseline ? total : last->second.total;
        // A refund lowers the total.
        const auto increase = static_cast<double>(total) - static_cast<double>(before);
        if (is_same_process) {
            auto& rate = last->second.rate;
            rate += use_smoothing * (std::max(increase, 0.0) / span - rate);
        }
        last->second.total = total;
        const auto item = buckets_.find(team);
        if (item != buckets_.end()) {
            refill(item->second, now);
            charge(item->second, increase, -max_debt * item->second.capacity);
        }
    }
    peers_[usage.gateway] = std::move(next);
}

void team_meter::on_tick(time_point now)
{
    std::erase_if(peers_,
                  [&](const auto& item) { return now - item.second.last_report_at > peer_expiry; });
    for (auto& [name, unresponsive] : peers_) {
        const auto unresponsive_after = std::max<duration>(
            missed_intervals * unresponsive.report_interval, min_unresponsive_time);
        if (now - unresponsive.last_report_at <= unresponsive_after) {
            continue;
        }
        const auto from =
            std::max(unresponsive.charged_until, unresponsive.last_report_at + unresponsive_after);
        for (const auto& [team, use] : unresponsive.teams) {
            const auto item = buckets_.find(team);
            if (item != buckets_.end()) {
                refill(item->second, now);
                charge(item->second, use.rate * seconds(now - from),
                       -max_estimated_debt * item->second.capacity);
            }
        }
        unresponsive.charged_until = now;
    }
}

} // namespace snipespar::gateway
