#include "config/freshness.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace snipespar::config {

namespace {

// Keeps the latest time for a version.
void keep_latest(std::map<std::uint64_t, time_point>& times, std::uint64_t version, time_point at)
{
    const auto [item, inserted] = times.emplace(version, at);
    if (!inserted) {
        item->second = std::max(item->second, at);
    }
}

std::optional<time_point> find_time(const std::map<std::uint64_t, time_point>& times,
                                    std::uint64_t version)
{
    const auto found = times.find(version);
    return found == times.end() ? std::nullopt : std::optional(found->second);
}

std::optional<duration> age(std::optional<time_point> at, time_point now)
{
    return at ? std::optional(std::max(now - *at, duration::zero())) : std::nullopt;
}

} // namespace

void freshness::set_active_version(std::uint64_t version)
{
    assert(version >= active_version_);
    active_version_ = version;
    newest_known_ = std::max(newest_known_, version);
    confirmed_.erase(confirmed_.begin(), confirmed_.lower_bound(active_version_));
    relayed_outage_.erase(relayed_outage_.begin(), relayed_outage_.lower_bound(active_version_));
}

void freshness::confirm(std::uint64_t version, time_point at)
{
    newest_known_ = std::max(newest_known_, version);
    if (version >= active_version_) {
        keep_latest(confirmed_, version, at);
    }
}

void freshness::on_platform_response(std::uint64_t version, time_point sent)
{
    own_failure_.reset();
    platform_failures_.clear();
    confirm(version, sent);
}

void freshness::on_platform_failure(const host_id& self, time_point now)
{
    own_failure_ = now;
    platform_failures_[self] = {newest_known_, now};
}

void freshness::on_report(const host_id& sender, const freshness_report& report, time_point sent)
{
    newest_known_ = std::max(newest_known_, report.newest_known);
    if (report.confirmed_age) {
        confirm(report.version, sent - *report.confirmed_age);
    }
    if (report.outage_age && report.version >= active_version_) {
        keep_latest(relayed_outage_, report.version, sent - *report.outage_age);
    }
    if (report.call_failed_age) {
        platform_failures_[sender] = {report.newest_known, sent - *report.call_failed_age};
    }
    else {
        platform_failures_.erase(sender);
    }
}

bool freshness::is_majority(const std::vector<member>& affected) const
{
    std::set<failure_domain_id> all_domains;
    std::set<failure_domain_id> affected_domains;
    for (const auto& item : members_) {
        all_domains.insert(item.failure_domain);
    }
    for (const auto& item : affected) {
        affected_domains.insert(item.failure_domain);
    }
    return affected.size() >= 2 && 2 * affected.size() > members_.size() &&
           2 * affected_domains.size() > all_domains.size();
}

// The latest time since which a majority is known to have lost the platform.
std::optional<time_point> freshness::outage_observed_at() const
{
    std::vector<std::pair<time_point, member>> failures;
    for (const auto& item : members_) {
        const auto found = platform_failures_.find(item.host);
        if (found != platform_failures_.end() && found->second.newest_known <= active_version_) {
            failures.emplace_back(found->second.at, item);
        }
    }
    std::ranges::sort(failures, std::greater{}, &std::pair<time_point, member>::first);
    std::vector<member> affected;
    for (const auto& [at, item] : failures) {
        affected.push_back(item);
        if (is_majority(affected)) {
            return at;
        }
    }
    return std::nullopt;
}

time_point freshness::admits_until() const
{
    if (active_version_ == 0) {
        return time_point::min();
    }
    auto latest = find_time(confirmed_, active_version_);
    if (newest_known_ <= active_version_) {
        latest = std::max(latest, outage_observed_at());
        latest = std::max(latest, find_time(relayed_outage_, active_version_));
    }
    return latest ? *latest + bound_ : time_point::min();
}

freshness_report freshness::report(time_point now) const
{
    const auto outage = std::max(outage_observed_at(), find_time(relayed_outage_, active_version_));
    return {active_version_, newest_known_, age(find_time(confirmed_, active_version_), now),
            age(own_failure_, now), age(outage, now)};
}

} // namespace snipespar::config
