#include "gateway/usage_reporter.h"

#include <algorithm>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;

// Reports of a small fleet, while a team's use changes.
constexpr auto min_interval = milliseconds(250);
// Reports while nothing changes.
constexpr auto min_idle_interval = milliseconds(1000);
// A team may exceed its limit by what is admitted between two reports, which is paid back from its
// rate within a window of several seconds.
constexpr auto max_interval = milliseconds(1600);
// Added per gateway, so that one receives at most 50 reports a second, or 125 while a team is busy.
constexpr auto interval_per_gateway = milliseconds(20);
constexpr auto busy_interval_per_gateway = milliseconds(8);
// A total is stated this often, since datagrams may be lost.
constexpr int max_repeats = 3;
// Every n-th report states all teams.
constexpr std::uint64_t complete_report_rounds = 8;

} // namespace

duration usage_reporter::idle_interval(int gateways)
{
    return std::clamp<duration>(interval_per_gateway * gateways, min_idle_interval, max_interval);
}

std::optional<usage_statement>
usage_reporter::next(const std::map<std::string, std::uint64_t>& admitted, usage_urgency urgency,
                     int gateways, time_point now)
{
    const auto per_gateway =
        urgency == usage_urgency::none ? interval_per_gateway : busy_interval_per_gateway;
    const auto interval =
        urgency == usage_urgency::surge
            ? duration(min_interval)
            : std::clamp<duration>(per_gateway * gateways, min_interval, max_interval);
    const bool has_changed = std::any_of(admitted.begin(), admitted.end(), [&](const auto& item) {
        const auto known = reported_.find(item.first);
        return known == reported_.end() || known->second.total != item.second;
    });
    // Gateways that share a limit which is nearly used up have to know whether they are in contact.
    const auto wait =
        has_changed || urgency != usage_urgency::none ? interval : idle_interval(gateways);
    if (sent_at_ && now - *sent_at_ < std::min(wait, next_within_)) {
        return std::nullopt;
    }
    sent_at_ = now;
    next_within_ = wait;
    stated_ = admitted;
    usage_statement stated;
    stated.next_within = next_within_;
    stated.is_complete = reports_++ % complete_report_rounds == 0;
    for (const auto& [team, total] : admitted) {
        auto& known = reported_[team];
        if (known.total != total) {
            known = {total, 0};
        }
        if (stated.is_complete || known.repeats < max_repeats) {
            stated.team_tokens.emplace(team, total);
        }
        ++known.repeats;
    }
    return stated;
}

} // namespace snipespar::gateway
