#include "config/freshness.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace snipespar::config {

namespace {

// Keeps the later of two moments for a version.
void keep_latest(std::map<std::uint64_t, time_point>& facts, std::uint64_t version, time_point at)
{
    const auto [item, inserted] = facts.emplace(version, at);
    if (!inserted) {
        item->second = std::max(item->second, at);
    }
}

std::optional<time_point> find_fact(const std::map<std::uint64_t, time_point>& facts,
                                    std::uint64_t version)
{
    const auto found = facts.find(version);
    return found == facts.end() ? std::nullopt : std::optional(found->second);
}

std::optional<duration> age(std::optional<time_point> at, time_point now)
{
    return at ? std::optional(std::max(now - *at, duration::zero())) : std::nullopt;
}

} // namespace

void freshness::hold(std::uint64_t version)
{
    assert(version >= held_);
    held_ = version;
    newest_known_ = std::max(newest_known_, version);
    confirmed_.erase(confirmed_.begin(), confirmed_.lower_bound(held_));
    relayed_outage_.erase(relayed_outage_.begin(), relayed_outage_.lower_bound(held_));
}

void freshness::confirm(std::uint64_t version, time_point at)
{
    newest_known_ = std::max(newest_known_, version);
    if (version >= held_) {
        keep_latest(confirmed_, version, at);
    }
}

void freshness::on_platform_answer(std::uint64_t version, time_point sent)
{
    own_failure_.reset();
    without_platform_.clear();
    confirm(version, sent);
}

void freshness::on_platform_failure(const host_id& self, time_point now)
{
    own_failure_ = now;
    without_platform_[self] = {newest_known_, now};
}

void freshness::on_report(const host_id& sender, const freshness_report& report, time_point sent)
{
    newest_known_ = std::max(newest_known_, report.newest_known);
    if (report.confirmed_age) {
        confirm(report.version, sent - *report.confirmed_age);
    }
    if (report.outage_age && report.version >= held_) {
        keep_latest(relayed_outage_, report.version, sent - *report.outage_age);
    }
    if (report.call_failed_age) {
        without_platform_[sender] = {report.newest_known, sent - *report.call_failed_age};
    }
    else {
        without_platform_.erase(sender);
    }
}

bool freshness::is_majority(const std::vector<member>& present) const
{
    std::set<failure_domain_id> all_domains;
    std::set<failure_domain_id> present_domains;
    for (const auto& item : members_) {
        all_domains.insert(item.failure_domain);
    }
    for (const auto& item : present) {
        present_domains.insert(item.failure_domain);
    }
    return present.size() >= 2 && 2 * present.size() > members_.size() &&
           2 * present_domains.size() > all_domains.size();
}

// The latest moment since which a majority was seen without the platform.
std::optional<time_point> freshness::outage_at() const
{
    std::vector<std::pair<time_point, member>> seen;
    for (const auto& item : members_) {
        const auto found = without_platform_.find(item.host);
        if (found != without_platform_.end() && found->second.newest_known <= held_) {
            seen.emplace_back(found->second.at, item);
        }
    }
    std::ranges::sort(seen, std::greater{}, &std::pair<time_point, member>::first);
    std::vector<member> present;
    for (const auto& [at, item] : seen) {
        present.push_back(item);
        if (is_majority(present)) {
            return at;
        }
    }
    return std::nullopt;
}

time_point freshness::admits_until() const
{
    if (held_ == 0) {
        return time_point::min();
    }
    auto latest = find_fact(confirmed_, held_);
    if (newest_known_ <= held_) {
        latest = std::max(latest, outage_at());
        latest = std::max(latest, find_fact(relayed_outage_, held_));
    }
    return latest ? *latest + bound_ : time_point::min();
}

freshness_report freshness::report(time_point now) const
{
    const auto outage = std::max(outage_at(), find_fact(relayed_outage_, held_));
    return {held_, newest_known_, age(find_fact(confirmed_, held_), now), age(own_failure_, now),
            age(outage, now)};
}

} // namespace snipespar::config
