#include "gateway/team_meter.h"

#include "control/gateway_usage.h"

#include <algorithm>

namespace snipespar::gateway {

namespace {

// A gateway reports every 250 ms while its use changes.
constexpr auto unresponsive_after = std::chrono::milliseconds(800);
// A gateway without reports for longer has most likely stopped.
constexpr auto peer_expiry = std::chrono::milliseconds(4000);
// Weight of a new measurement in the smoothed rate of a peer.
constexpr double use_smoothing = 0.3;

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

void team_meter::charge(bucket& item, double tokens)
{
    // A debt beyond the burst could only result from the error of an estimate.
    item.level = std::max(item.level - tokens, -item.capacity);
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
        bucket item{team.rate_per_s, capacity, capacity, now};
        if (known != buckets_.end()) {
            refill(known->second, now);
            item.level = std::clamp(known->second.level, -capacity, capacity);
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
    peer next{usage.gateway_start, usage.sequence, now, now, {}};
    for (const auto& [team, total] : usage.team_tokens) {
        // The first total of a peer that started before this process is a baseline, not a charge.
        std::uint64_t before = usage.gateway_start < start_ && !is_same_process ? total : 0;
        double rate = 0;
        if (is_same_process) {
            const auto last = known->second.teams.find(team);
            if (last != known->second.teams.end()) {
                before = last->second.total;
                rate = last->second.rate;
            }
        }
        const auto increase = static_cast<double>(total > before ? total - before : 0);
        if (is_same_process) {
            const double span = std::max(seconds(now - known->second.last_report_at), 0.05);
            rate += use_smoothing * (increase / span - rate);
        }
        next.teams[team] = {total, rate};
        const auto item = buckets_.find(team);
        if (item != buckets_.end()) {
            refill(item->second, now);
            charge(item->second, increase);
        }
    }
    peers_[usage.gateway] = std::move(next);
}

void team_meter::on_tick(time_point now)
{
    std::erase_if(peers_,
                  [&](const auto& item) { return now - item.second.last_report_at > peer_expiry; });
    for (auto& [name, unresponsive] : peers_) {
        if (now - unresponsive.last_report_at <= unresponsive_after) {
            continue;
        }
        const auto from =
            std::max(unresponsive.charged_until, unresponsive.last_report_at + unresponsive_after);
        for (const auto& [team, use] : unresponsive.teams) {
            const auto item = buckets_.find(team);
            if (item != buckets_.end()) {
                refill(item->second, now);
                charge(item->second, use.rate * seconds(now - from));
            }
        }
        unresponsive.charged_until = now;
    }
}

} // namespace snipespar::gateway
