#include "gateway/finish_forecaster.h"

#include "gateway/placed_call.h"
#include "gateway/upstream_state.h"

#include <algorithm>
#include <cmath>

namespace snipespar::gateway {

namespace {

using std::chrono::seconds;

// What calls cost changes with releases and with what callers ask for, over minutes.
constexpr auto work_half_life = seconds(30);
// A host gets slow and recovers within seconds. A slow one that gets no calls is tried again after
// this time.
constexpr auto pace_half_life = seconds(3);
// Samples that an upstream needs before it counts as slower or faster than the others: calls of one
// route differ from each other by half.
constexpr double pace_prior_weight = 8;
constexpr auto load_half_life = seconds(2);
constexpr auto error_half_life = seconds(10);
// Work of a call before any has been answered.
constexpr double unknown_work_s = 0.05;
// Stated slowdowns change many times a second: of their deviation from the mean this time leaves a
// third.
constexpr double slowdown_memory_s = 0.2;
// Backlogs change within the time of their work, and within this time at most: a stated backlog
// that would last longer is cancelled, given up by callers, or wrong.
constexpr double max_backlog_memory_s = 1.0;
// A stated load of this age says nothing about the present.
constexpr auto stale_after = seconds(1);
// One call, however long it took, changes the pace of an upstream by this factor at most.
constexpr double max_pace = 20;
// An unanswered call proves its upstream slow once it takes this multiple of the forecast: one call
// in a hundred costs several times the mean.
constexpr double overdue_factor = 5;
// How long it is remembered at which backlog an upstream was full, and what is not used.
constexpr auto full_lifetime = seconds(10);
constexpr auto unused_lifetime = std::chrono::minutes(2);

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

// Calls that wait for each slot ahead of one more call.
double queue_per_slot(double backlog, double slots)
{
    return std::max(backlog - slots + 1, 0.0) / slots;
}

double slots_of(const upstream_state& upstream)
{
    const int stated = upstream.load ? upstream.load->slots : 0;
    return std::max(upstream.entry.slots > 0 ? upstream.entry.slots : stated, 1);
}

// Backlog of an upstream where this gateway, which sends it that share of its calls, has `own`
// calls in flight. A fresh figure (`certainty` 1) holds as it is. Without one (0) it is the
// posterior mean for a backlog distributed as that of a queue: own calls are known without delay,
// and many of them show a queue before any figure does.
double backlog_given_own(double expected, double certainty, double own, double share)
{
    const double others = (1 - share) * (1 + own) * expected / (1 + share * expected);
    return certainty * std::max(expected, own) + (1 - certainty) * (own + others);
}

// Calls left at the upstream once the answered one has gone. It can't run more than its slots.
double backlog_of(const stated_load& load, double slots)
{
    const double running = std::min(static_cast<double>(load.running), slots);
    return std::max(running + load.waiting - 1, 0.0);
}

} // namespace

finish_forecaster::service_knowledge& finish_forecaster::service_of(const std::string& name,
                                                                    time_point now)
{
    auto& known =
        services_
            .try_emplace(
                name,
                service_knowledge{
                    {work_half_life, unknown_work_s, 0}, {error_half_life, 0, 1}, {}, 0, {}, now})
            .first->second;
    known.used_at = now;
    return known;
}

finish_forecaster::upstream_knowledge& finish_forecaster::upstream_of(const upstream_id& id,
                                                                      time_point now)
{
    auto& known = upstreams_
                      .try_emplace(id, upstream_knowledge{{pace_half_life, 1, pace_prior_weight},
                                                          {load_half_life, 1, 0},
                                                          {load_half_life, 0, 0},
                                                          {},
                                                          now})
                      .first->second;
    known.used_at = now;
    return known;
}

double finish_forecaster::expected_work_s(const std::string& service, const std::string& route,
                                          time_point now) const
{
    const auto known = services_.find(service);
    if (known == services_.end()) {
        return unknown_work_s;
    }
    const double mean = known->second.work.value(now);
    const auto by_route = known->second.work_by_route.find(route);
    if (by_route == known->second.work_by_route.end()) {
        return mean;
    }
    // A few samples of a route are worth less than the mean of the service.
    constexpr double mean_weight = 3;
    const double weight = by_route->second.weight(now);
    return (by_route->second.value(now) * weight + mean * mean_weight) / (weight + mean_weight);
}

void finish_forecaster::on_sent(const placed_call& call)
{
    service_of(call.service, call.sent_at);
    upstream_of(call.upstream, call.sent_at).sent.insert(call.sent_at);
}

void finish_forecaster::forget_sent(const placed_call& call, time_point now)
{
    auto& sent = upstream_of(call.upstream, now).sent;
    if (const auto found = sent.find(call.sent_at); found != sent.end()) {
        sent.erase(found);
    }
}

// Takes the stated queue and slowdown out of the time that the call took. What remains is its work,
// at the pace of its upstream.
void finish_forecaster::learn(const placed_call& call, double slowdown, time_point now)
{
    auto& upstream = upstream_of(call.upstream, now);
    auto& service = service_of(call.service, now);
    const double queue = queue_per_slot(call.forecast.backlog, call.forecast.slots);
    const double work_s = to_seconds(now - call.sent_at) / (1 + queue) / slowdown;
    const double expected_s = expected_work_s(call.service, call.route, now);
    const double pace = upstream.pace.value(now);
    if (service.work.weight(now) > 0) {
        upstream.pace.add(std::clamp(work_s / expected_s, 1 / max_pace, max_pace), now);
    }
    service.work.add(work_s / pace, now);
    service.work_by_route.try_emplace(call.route, work_half_life, unknown_work_s, 0)
        .first->second.add(work_s / pace, now);
}

std::optional<double> finish_forecaster::on_answered(const placed_call& call,
                                                     const stated_load& load, time_point now)
{
    forget_sent(call, now);
    auto& upstream = upstream_of(call.upstream, now);
    const bool has_mean = upstream.slowdown.weight(now) > 0;
    const double slowdown =
        has_mean ? (upstream.slowdown.value(now) + load.slowdown) / 2 : load.slowdown;
    const bool was_known = service_of(call.service, now).work.weight(now) > 0;
    learn(call, slowdown, now);
    upstream.slowdown.add(load.slowdown, now);
    upstream.backlog.add(backlog_of(load, call.forecast.slots), now);
    if (!was_known) {
        return std::nullopt;
    }
    const double error_s = to_seconds(now - call.sent_at) - call.forecast.finish_s();
    service_of(call.service, now).error.add(std::abs(error_s), now);
    return error_s;
}

void finish_forecaster::on_given_up(const placed_call& call, bool is_unanswered, time_point now)
{
    forget_sent(call, now);
    const double took_s = to_seconds(now - call.sent_at);
    if (is_unanswered && took_s > call.forecast.finish_s()) {
        const double queue = queue_per_slot(call.forecast.backlog, call.forecast.slots);
        const double expected_s = expected_work_s(call.service, call.route, now);
        upstream_of(call.upstream, now)
            .pace.add(std::min(took_s / (1 + queue) / expected_s, max_pace), now);
    }
}

void finish_forecaster::on_shed(const placed_call& call, const stated_load& load, time_point now)
{
    const int backlog = load.running + load.waiting;
    // Upstreams turn calls away for other reasons, too.
    if (backlog > load.slots) {
        auto& service = service_of(call.service, now);
        service.full_at = backlog;
        service.full_seen_at = now;
    }
}

finish_forecast finish_forecaster::forecast(const upstream_state& upstream,
                                            const std::string& route, int gateways,
                                            time_point now) const
{
    finish_forecast result;
    result.slots = slots_of(upstream);
    const auto& service = upstream.entry.service;
    const double work = expected_work_s(service, route, now);
    const double mean_work = expected_work_s(service, {}, now);
    double slowdown = 1;
    double pace = 1;
    double mean_backlog = 0;
    double own = 0;
    const auto age = now - upstream.load_at;
    const double age_s = std::max(to_seconds(age), 0.0);
    double certainty = 0;
    result.states_queue = upstream.load && upstream.load->waiting > 0 && age < stale_after;
    const auto found = upstreams_.find(upstream.entry.id);
    if (found != upstreams_.end()) {
        const auto& known = found->second;
        slowdown = known.slowdown.value(now);
        pace = known.pace.value(now);
        mean_backlog = known.backlog.value(now);
        own = static_cast<double>(known.sent.size());
        if (!known.sent.empty()) {
            const double oldest_s = to_seconds(now - *known.sent.begin());
            const double queue = queue_per_slot(mean_backlog, result.slots);
            const double expected = work * slowdown * (1 + queue);
            if (oldest_s > overdue_factor * expected) {
                pace = std::clamp(oldest_s / expected, pace, std::max(pace, max_pace));
            }
        }
    }
    if (upstream.load) {
        slowdown += (upstream.load->slowdown - slowdown) * std::exp(-age_s / slowdown_memory_s);
    }
    const double factor = slowdown * pace;
    result.run_s = work * factor;
    result.rate_per_s = result.slots / (mean_work * factor);
    result.backlog = mean_backlog;
    if (upstream.load) {
        const double stated = backlog_of(*upstream.load, result.slots);
        const double memory_s =
            std::min(std::max(stated, result.slots) / result.rate_per_s, max_backlog_memory_s);
        certainty = std::exp(-age_s / memory_s);
        result.backlog += (stated - mean_backlog) * certainty;
    }
    result.backlog = backlog_given_own(result.backlog, certainty, own, 1.0 / std::max(gateways, 1));
    result.wait_s = queue_per_slot(result.backlog, result.slots) * mean_work * factor;
    return result;
}

double finish_forecaster::error_s(const std::string& service, time_point now) const
{
    const auto known = services_.find(service);
    return known == services_.end() ? 0 : known->second.error.value(now);
}

std::optional<double> finish_forecaster::full_at(const std::string& service, time_point now) const
{
    const auto known = services_.find(service);
    if (known == services_.end() || known->second.full_at <= 0 ||
        now - known->second.full_seen_at > full_lifetime) {
        return std::nullopt;
    }
    return known->second.full_at;
}

void finish_forecaster::on_tick(time_point now)
{
    std::erase_if(services_,
                  [&](const auto& item) { return now - item.second.used_at > unused_lifetime; });
    std::erase_if(upstreams_, [&](const auto& item) {
        return item.second.sent.empty() && now - item.second.used_at > unused_lifetime;
    });
}

} // namespace snipespar::gateway
