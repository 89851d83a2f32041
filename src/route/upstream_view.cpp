#include "route/upstream_view.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipespar::route {

namespace {

// Weight of the newest sample in the moving average of the service time.
constexpr double service_time_gain = 0.1;
constexpr std::uint32_t max_ejection_doublings = 10;

bool same_members(std::span<const upstream_status> known, std::span<const upstream_status> next)
{
    return std::ranges::equal(known, next, [](const auto& left, const auto& right) {
        return left.id == right.id && left.kind == right.kind && left.serves == right.serves &&
               left.max_running == right.max_running;
    });
}

upstream_status make_status(const config::upstream& upstream, duration service_time)
{
    upstream_status status;
    status.id = upstream.id;
    status.hash = stable_hash(upstream.id.str());
    status.service_time = service_time;
    return status;
}

void configure(upstream_status& status, const config::upstream& upstream)
{
    status.kind = upstream.kind;
    status.serves = upstream.serves;
    status.host = upstream.host;
    status.failure_domain = upstream.failure_domain;
    status.max_running = std::max<std::uint32_t>(1, upstream.max_running);
}

} // namespace

upstream_view::upstream_view(view_limits limits) : limits_(limits) {}

void upstream_view::set_upstreams(const std::map<upstream_id, config::upstream>& upstreams)
{
    std::vector<upstream_status> next;
    next.reserve(upstreams.size());
    for (const auto& [id, upstream] : upstreams) {
        const upstream_status* known = find(id);
        next.push_back(known != nullptr ? *known
                                        : make_status(upstream, limits_.initial_service_time));
        configure(next.back(), upstream);
    }
    if (!same_members(upstreams_, next)) {
        ++membership_;
    }
    upstreams_ = std::move(next);
}

void upstream_view::on_link_up(const upstream_id& id, std::uint64_t agent_start)
{
    upstream_status* status = find(id);
    if (status == nullptr) {
        return;
    }
    status->linked = true;
    if (status->agent_start != agent_start) {
        status->agent_start = agent_start;
        status->announced_leaving = false;
        status->report = {};
        status->report_at = {};
        status->resident.clear();
        status->failure_streak = 0;
        status->ejections = 0;
        status->ejected_until = {};
    }
}

void upstream_view::on_link_lost(const upstream_id& id)
{
    if (upstream_status* status = find(id)) {
        status->linked = false;
    }
}

void upstream_view::on_leaving(const upstream_id& id)
{
    if (upstream_status* status = find(id)) {
        status->announced_leaving = true;
    }
}

void upstream_view::on_host_list(const std::set<host_id>& leaving)
{
    for (auto& status : upstreams_) {
        status.listed_leaving = leaving.contains(status.host);
    }
}

void upstream_view::on_report(const upstream_id& id, load_report report, time_point produced_at)
{
    upstream_status* status = find(id);
    if (status == nullptr || produced_at < status->report_at) {
        return;
    }
    status->resident.clear();
    for (const auto& adapter : report.resident) {
        status->resident.push_back(stable_hash(adapter.str()));
    }
    std::ranges::sort(status->resident);
    report.resident.clear();
    status->report = std::move(report);
    status->report_at = produced_at;
    status->sent_since_report = 0;
}

void upstream_view::on_attempt_sent(const upstream_id& id)
{
    if (upstream_status* status = find(id)) {
        ++status->in_flight;
        ++status->sent_since_report;
    }
}

void upstream_view::on_attempt_succeeded(const upstream_id& id, duration elapsed)
{
    upstream_status* status = find(id);
    if (status == nullptr) {
        return;
    }
    end_attempt(*status);
    const double sample = static_cast<double>(elapsed.count());
    const double mean = static_cast<double>(status->service_time.count());
    status->service_time =
        duration(static_cast<duration::rep>(mean + service_time_gain * (sample - mean)));
    status->failure_streak = 0;
    status->ejections = 0;
    status->ejected_until = {};
}

void upstream_view::on_attempt_failed(const upstream_id& id, time_point now)
{
    upstream_status* status = find(id);
    if (status == nullptr) {
        return;
    }
    end_attempt(*status);
    ++status->failure_streak;
    const bool trial_failed = status->ejections > 0 && now >= status->ejected_until;
    if (status->failure_streak < limits_.ejection_streak && !trial_failed) {
        return;
    }
    const auto doublings = std::min(status->ejections, max_ejection_doublings);
    const duration span =
        std::min<duration>(limits_.ejection_time * (1U << doublings), limits_.max_ejection_time);
    status->ejected_until = now + span;
    status->failure_streak = 0;
    ++status->ejections;
}

void upstream_view::on_attempt_dropped(const upstream_id& id)
{
    if (upstream_status* status = find(id)) {
        end_attempt(*status);
    }
}

std::optional<std::size_t> upstream_view::index_of(const upstream_id& id) const
{
    const auto position = std::ranges::lower_bound(upstreams_, id, {}, &upstream_status::id);
    if (position == upstreams_.end() || position->id != id) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(position - upstreams_.begin());
}

availability upstream_view::availability_of(std::size_t index, time_point now) const
{
    assert(index < upstreams_.size());
    const upstream_status& status = upstreams_[index];
    if (status.announced_leaving || status.listed_leaving) {
        return availability::leaving;
    }
    if (!status.linked) {
        return availability::unlinked;
    }
    if (now < status.ejected_until) {
        return availability::ejected;
    }
    if (status.ejections > 0 && status.in_flight > 0) {
        return availability::on_trial;
    }
    return availability::available;
}

duration upstream_view::wait_estimate(std::size_t index, time_point now) const
{
    assert(index < upstreams_.size());
    const upstream_status& status = upstreams_[index];
    const auto unreported = status.service_time * status.sent_since_report / status.max_running;
    const duration age =
        std::clamp<duration>(now - status.report_at, duration{}, limits_.max_counted_age);
    const auto age_penalty =
        static_cast<duration::rep>(static_cast<double>(age.count()) * limits_.report_age_weight);
    return status.report.queue_estimate + unreported + duration(age_penalty);
}

bool upstream_view::is_resident(std::size_t index, std::uint64_t adapter_hash) const
{
    assert(index < upstreams_.size());
    return std::ranges::binary_search(upstreams_[index].resident, adapter_hash);
}

upstream_status* upstream_view::find(const upstream_id& id)
{
    const auto index = index_of(id);
    return index ? &upstreams_[*index] : nullptr;
}

void upstream_view::end_attempt(upstream_status& status)
{
    status.in_flight -= std::min<std::uint32_t>(status.in_flight, 1);
}

} // namespace snipespar::route
