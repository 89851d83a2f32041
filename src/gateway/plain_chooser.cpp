#include "gateway/plain_chooser.h"

#include "gateway/upstream_state.h"

#include <algorithm>
#include <limits>

namespace snipespar::gateway {

namespace {

// A failure rate of 1 counts as four more calls per slot. Rates that services have by themselves
// do not count.
constexpr double failure_weight = 4.0;
constexpr double usual_failure_rate = 0.2;
// An upstream at which the last call failed may have crashed with a low stated load: each such
// failure counts as half as many calls as it has slots.
constexpr double consecutive_failure_weight = 0.5;
// Calls by which the own failure domain is preferred among upstreams that finish equally early.
constexpr double distance_weight = 0.3;
// Part of the calls in progress that other gateways are expected to place with the same view. Some
// of them know better, from calls of their own.
constexpr double concurrent_share = 0.25;
// An upstream has room while its backlog is below this part of the one at which it sheds calls.
constexpr double room_share = 0.8;

using option = plain_chooser::option;

option rate(const upstream_state& upstream, const finish_forecast& forecast,
            const failure_domain_id& own_domain)
{
    // Grows with the backlog from the first call on, as the backlog is not known exactly.
    const double per_call_s = forecast.run_s / forecast.slots;
    const double failing =
        failure_weight * std::max(upstream.failure_rate - usual_failure_rate, 0.0) +
        consecutive_failure_weight * upstream.consecutive_failures;
    const double distance = upstream.entry.failure_domain == own_domain ? 0.0 : distance_weight;
    const double calls = forecast.backlog + distance + failing * forecast.slots;
    return {&upstream, forecast, forecast.run_s + calls * per_call_s, per_call_s, 0};
}

// Sets the shares of the calls that make all options finish at the same time after `calls` more
// calls.
void set_shares(std::vector<option>& options, double calls)
{
    std::sort(options.begin(), options.end(),
              [](const auto& left, const auto& right) { return left.finish_s < right.finish_s; });
    double capacity = 0;
    double weighted = 0;
    double level = 0;
    for (std::size_t i = 0; i < options.size(); ++i) {
        capacity += 1 / options[i].slope_s;
        weighted += options[i].finish_s / options[i].slope_s;
        level = (calls + weighted) / capacity;
        if (i + 1 < options.size() && level <= options[i + 1].finish_s) {
            break;
        }
    }
    for (auto& option : options) {
        option.share = std::max(level - option.finish_s, 0.0) / option.slope_s;
    }
}

// No upstream fits: the caller may come back once the first one has worked off what is too much.
plain_chooser::choice refuse(const plain_chooser::need& call, const std::vector<option>& unfit,
                             double room, double rate_per_s, time_point now)
{
    const double aim_s = std::chrono::duration<double>(call.aim).count();
    double soonest_s = std::numeric_limits<double>::max();
    const finish_forecast* first = nullptr;
    for (const auto& option : unfit) {
        const auto& forecast = option.forecast;
        const double until_in_time_s = forecast.finish_s() - aim_s;
        const double until_room_s =
            call.needs_room ? (forecast.backlog - room) / forecast.rate_per_s : 0;
        const double excess_s =
            std::clamp(std::max(until_in_time_s, until_room_s), 0.0, forecast.wait_s);
        if (excess_s < soonest_s) {
            soonest_s = excess_s;
            first = &forecast;
        }
    }
    const auto wait = std::chrono::duration<double>(soonest_s);
    return {nullptr, *first, now + std::chrono::duration_cast<duration>(wait), rate_per_s};
}

} // namespace

std::optional<plain_chooser::weighing>
plain_chooser::weigh(const need& call, const std::vector<const upstream_state*>& candidates,
                     time_point now) const
{
    const bool states_load =
        std::ranges::any_of(candidates, [](const auto* state) { return state->load.has_value(); });
    if (!states_load) {
        return std::nullopt;
    }
    const auto& service = candidates.front()->entry.service;
    const double time_left_s = std::chrono::duration<double>(call.wanted_by - now).count();
    const double margin_s = forecaster_.error_s(service, now);
    const auto full_at = forecaster_.full_at(service, now);
    weighing result;
    double calls_in_progress = 0;
    for (const auto* state : candidates) {
        const auto forecast = forecaster_.forecast(*state, call.route, call.gateways, now);
        const bool has_room =
            forecast.has_free_slot() || !full_at || forecast.backlog < room_share * *full_at;
        // Most of what is sent is then in time. Without a margin the queue would stand where half
        // of all calls are late. The queue is to blame, and no slot free, only if the wait is
        // longer than the call. Without a recent figure nothing is refused.
        const bool is_late = forecast.states_queue && forecast.wait_s > forecast.run_s &&
                             forecast.finish_s() + margin_s > time_left_s;
        calls_in_progress += std::min(forecast.backlog, forecast.slots);
        result.rate_per_s += forecast.rate_per_s;
        auto& group = is_late || (call.needs_room && !has_room) ? result.unfit : result.options;
        group.push_back(rate(*state, forecast, own_domain_));
    }
    set_shares(result.options, concurrent_share * calls_in_progress + 1);
    return result;
}

std::optional<plain_chooser::choice>
plain_chooser::choose(const need& call, const std::vector<const upstream_state*>& candidates,
                      std::mt19937_64& random, time_point now) const
{
    const auto weighed = weigh(call, candidates, now);
    if (!weighed) {
        return std::nullopt;
    }
    const auto& options = weighed->options;
    if (options.empty()) {
        const auto full_at = forecaster_.full_at(candidates.front()->entry.service, now);
        const double full = full_at.value_or(std::numeric_limits<double>::max());
        return refuse(call, weighed->unfit, room_share * full, weighed->rate_per_s, now);
    }
    std::vector<double> shares;
    shares.reserve(options.size());
    for (const auto& option : options) {
        shares.push_back(option.share);
    }
    std::discrete_distribution<std::size_t> draw(shares.begin(), shares.end());
    const auto& chosen = options[draw(random)];
    return choice{chosen.upstream, chosen.forecast, {}, weighed->rate_per_s};
}

} // namespace snipespar::gateway
