#include "gateway/upstream_selector.h"

#include "base/stable_hash.h"
#include "gateway/engine_forecast.h"
#include "gateway/service_rule.h"
#include "gateway/upstream_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace snipespar::gateway {

/// An engine in the ranking of an adapter.
struct ranked_engine {
    double score = 0;
    double load = 0;
    /// Predicted time until it would begin the call, were the adapter resident; 0 while unknown.
    double start_ms = 0;
    std::uint64_t address_hash = 0;
    const upstream_state* state = nullptr;

    /// Whether a call is expected to begin sooner than on the other one.
    bool is_better_than(const ranked_engine& other) const
    {
        return start_ms != other.start_ms ? start_ms < other.start_ms : load < other.load;
    }
};

/// Thresholds above which engines get fewer calls, or none.
struct load_limits {
    /// Calls that an engine runs concurrently.
    double slots = 0;
    /// An engine with this load, in calls, is busy.
    double busy = 0;
    /// An engine with this load, in calls, gets no further calls.
    double full = 0;
    /// An engine that takes longer to begin a call is busy.
    double busy_ms = std::numeric_limits<double>::infinity();

    bool is_busy(const ranked_engine& engine) const
    {
        return engine.load >= busy || engine.start_ms >= busy_ms;
    }
};

namespace {

// Weight of the failure rate relative to the load: a failure rate of 1 counts as four more calls
// per slot.
constexpr double failure_weight = 4.0;
// Load, in calls, added to upstreams of another failure domain, so that equally loaded ones of the
// own domain are preferred.
constexpr double distance_weight = 0.3;
// An engine is busy when its load exceeds this factor times the service's average plus the margin.
constexpr double busy_factor = 1.3;
constexpr double busy_margin = 5.0;
// Shared prompt tokens from which a call returns to the engine that has read them: engines read
// about 38 tokens per millisecond, so reuse saves more than an even load would.
constexpr std::uint64_t min_affinity_tokens = 1000;
// Replica capacity relative to the adapter's share of the calls, so that the replicas keep room for
// other calls.
constexpr double replica_headroom = 1.25;
// Calls that may queue at an engine, as a share of its slots.
constexpr double queue_share = 0.5;
// An engine is busy if a call's prompt is read later than after this share of the time in which its
// caller expects the first event: the rest is for the way to the caller and for stale reports.
constexpr double busy_target_share = 0.3;
// Failure rate above which an engine is skipped while others are healthy.
constexpr double unhealthy_failure_rate = 0.35;

double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

// Calls that run or wait at the upstream: the reported ones plus those sent since the report.
double load_of(const upstream_state& state, int gateways)
{
    if (!state.status) {
        return static_cast<double>(state.in_flight) * gateways;
    }
    const int sent_since = std::max(state.in_flight - state.in_flight_at_status, 0);
    return std::max(state.status->running + state.status->waiting, state.in_flight) + sent_since;
}

bool is_resident(const upstream_state& state, const placement_query& query)
{
    if (!state.status) {
        return query.adapter.empty();
    }
    if (query.adapter.empty()) {
        const auto& models = state.status->models;
        return std::find(models.begin(), models.end(), query.model) != models.end();
    }
    const auto found = state.status->adapters.find(query.adapter);
    return found != state.status->adapters.end() && found->second >= query.min_version;
}

bool is_loading(const upstream_state& state, const placement_query& query)
{
    return state.status && std::find(state.status->loading.begin(), state.status->loading.end(),
                                     query.adapter) != state.status->loading.end();
}

// Number of replicas for an adapter with this share of all calls.
std::size_t target_replicas(double share, std::size_t engines)
{
    const double worth = share * static_cast<double>(engines) * replica_headroom;
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(worth)), 1, engines);
}

/// The engines of a ranking, grouped by their state for one adapter; each group in ranking order.
struct engine_groups {
    /// Engines on which it is resident and that are not full.
    std::vector<const ranked_engine*> ready_engines;
    /// Engines that can load it.
    std::vector<const ranked_engine*> loaders;
    /// The first engine that is loading it.
    const ranked_engine* loading = nullptr;
    /// The first engine whose sidecar has not reported yet.
    const ranked_engine* unreported = nullptr;
    /// No engine has loaded a base model, as after a power loss.
    bool are_all_starting = true;
};

std::vector<ranked_engine> rank(const placement_query& query,
                                const std::vector<const upstream_state*>& candidates, int gateways)
{
    const engine_forecast forecast(candidates);
    const auto key = stable_hash(query.adapter.empty() ? query.model : query.adapter);
    std::vector<ranked_engine> ranking;
    ranking.reserve(candidates.size());
    for (const auto* state : candidates) {
        ranking.push_back(
            {rendezvous_score(key, state->address_hash, 1.0), load_of(*state, gateways),
             forecast.start_ms(*state, query.prompt_tokens), state->address_hash, state});
    }
    std::sort(ranking.begin(), ranking.end(),
              [](const auto& left, const auto& right) { return left.score > right.score; });
    return ranking;
}

load_limits limits_of(const std::vector<ranked_engine>& ranking, const placement_query& query,
                      double slots)
{
    double sum = 0;
    for (const auto& engine : ranking) {
        sum += engine.load;
    }
    const double average = sum / static_cast<double>(ranking.size());
    load_limits limits{slots, std::min(busy_factor * average + busy_margin, slots),
                       slots * (1 + queue_share)};
    if (query.aim > duration{}) {
        limits.busy_ms = busy_target_share * to_ms(query.aim);
    }
    return limits;
}

engine_groups group(const std::vector<ranked_engine>& ranking, const placement_query& query,
                    const load_limits& limits, time_point now)
{
    engine_groups groups;
    for (const auto& engine : ranking) {
        const auto& state = *engine.state;
        const bool has_room = engine.load < limits.full;
        const bool is_starting = state.status && state.status->models.empty();
        groups.are_all_starting = groups.are_all_starting && is_starting;
        if (is_resident(state, query)) {
            if (has_room) {
                groups.ready_engines.push_back(&engine);
            }
        }
        else if (!state.status) {
            groups.unreported = groups.unreported == nullptr ? &engine : groups.unreported;
        }
        else if (has_room && is_loading(state, query)) {
            groups.loading = groups.loading == nullptr ? &engine : groups.loading;
        }
        else if (has_room && upstream_table::can_load(state, query.model, now) &&
                 !state.status->is_full) {
            groups.loaders.push_back(&engine);
        }
    }
    return groups;
}

// Keeps only the candidates that satisfy the condition, if there are any.
template <class Condition>
void prefer(std::vector<const upstream_state*>& candidates, Condition condition)
{
    if (std::any_of(candidates.begin(), candidates.end(), condition)) {
        std::erase_if(candidates, [&](const auto* state) { return !condition(state); });
    }
}

} // namespace

placement_decision upstream_selector::choose(const placement_query& query,
                                             const service_rule& service,
                                             const upstream_table& table, int gateways,
                                             time_point now)
{
    std::vector<const upstream_state*> candidates;
    std::optional<time_point> opens_at;
    double rate_per_s = 0;
    bool has_unlimited = false;
    bool has_version = query.software.empty();
    for (const auto& [id, state] : table.all()) {
        if (state.entry.service != query.service || !upstream_table::is_serving(state, now)) {
            continue;
        }
        if (!query.software.empty() && upstream_table::software_of(state) != query.software) {
            continue;
        }
        has_version = true;
        if (!query.software.empty() && service.engine &&
            !upstream_table::is_process_confirmed(state)) {
            continue;
        }
        if (state.is_evacuated) {
            continue;
        }
        const auto rate = upstream_table::request_rate(state, service, now);
        const auto closed_until = std::max(state.closed_until, state.no_permits_until);
        if (now < closed_until) {
            opens_at = std::min(opens_at.value_or(closed_until), closed_until);
            rate_per_s += rate.value_or(0);
            has_unlimited = has_unlimited || !rate;
        }
        else if (rate && !query.may_ask_for_permit) {
            opens_at = opens_at.value_or(now);
            rate_per_s += *rate;
        }
        else if (!query.excluded.contains(id)) {
            candidates.push_back(&state);
        }
    }
    prefer(candidates, [&](const auto* state) { return now >= state->ejected_until; });
    prefer(candidates, [&](const auto* state) { return !state->removal_at; });
    prefer(candidates,
           [&](const auto* state) { return !upstream_table::is_unresponsive(*state, now); });
    if (!has_version) {
        no_upstream gone;
        gone.is_version_gone = true;
        return {gone, {}};
    }
    if (candidates.empty()) {
        return {no_upstream{opens_at.has_value(), opens_at, has_unlimited ? 0 : rate_per_s}, {}};
    }
    if (service.engine) {
        return choose_engine(query, service, std::move(candidates), gateways, now);
    }
    return {choose_plain(query, candidates, gateways, now), {}};
}

placement upstream_selector::choose_plain(const placement_query& query,
                                          const std::vector<const upstream_state*>& candidates,
                                          int gateways, time_point now)
{
    const plain_chooser::need need{query.route, query.aim, query.wanted_by, query.needs_room,
                                   gateways};
    if (const auto choice = plain_.choose(need, candidates, random_, now)) {
        if (choice->upstream == nullptr) {
            return no_upstream{true, choice->opens_at, choice->rate_per_s, false, true};
        }
        return send_to{choice->upstream->entry.id};
    }
    std::uniform_real_distribution<double> jitter(0, 0.1);
    const upstream_state* best = nullptr;
    double lowest_cost = 0;
    for (const auto* state : candidates) {
        const double distance = state->entry.failure_domain == own_domain_ ? 0.0 : distance_weight;
        const double slots = std::max(state->entry.slots, 1);
        const double cost = state->in_flight + distance +
                            failure_weight * slots * std::max(state->failure_rate - 0.2, 0.0) +
                            jitter(random_);
        if (best == nullptr || cost < lowest_cost) {
            best = state;
            lowest_cost = cost;
        }
    }
    return send_to{best->entry.id};
}

// Picks one of the first `replica_count` engines, or the least busy of all if that one is busy.
const ranked_engine&
upstream_selector::pick_ready_engine(const placement_query& query,
                                     const std::vector<const ranked_engine*>& ready_engines,
                                     std::size_t replica_count, const load_limits& limits)
{
    const auto pool_size = std::min(ready_engines.size(), replica_count);
    const auto pool_end = ready_engines.begin() + static_cast<std::ptrdiff_t>(pool_size);
    if (query.shared_tokens >= min_affinity_tokens) {
        const auto* home =
            *std::max_element(ready_engines.begin(), pool_end, [&](auto left, auto right) {
                return rendezvous_score(query.session, left->address_hash, 1.0) <
                       rendezvous_score(query.session, right->address_hash, 1.0);
            });
        if (!limits.is_busy(*home)) {
            return *home;
        }
    }
    std::uniform_int_distribution<std::size_t> draw(0, pool_size - 1);
    const auto* first = ready_engines[draw(random_)];
    const auto* second = ready_engines[draw(random_)];
    const auto& less_busy = second->is_better_than(*first) ? *second : *first;
    if (!limits.is_busy(less_busy)) {
        return less_busy;
    }
    return **std::min_element(ready_engines.begin(), ready_engines.end(),
                              [](auto left, auto right) { return left->is_better_than(*right); });
}

placement_decision upstream_selector::choose_engine(const placement_query& query,
                                                    const service_rule& service,
                                                    std::vector<const upstream_state*> candidates,
                                                    int gateways, time_point now)
{
    prefer(candidates,
           [](const auto* state) { return state->failure_rate < unhealthy_failure_rate; });
    const auto ranking = rank(query, candidates, gateways);
    const auto limits = limits_of(ranking, query, std::max(service.engine->slots, 1));
    const auto groups = group(ranking, query, limits, now);
    const bool needs_adapter = !query.adapter.empty();
    const auto replica_count =
        needs_adapter ? target_replicas(query.share, ranking.size()) : ranking.size();
    const auto spare_loader =
        std::find_if(groups.loaders.begin(), groups.loaders.end(),
                     [&](const auto* engine) { return engine->load < limits.busy; });
    const bool has_spare_loader = spare_loader != groups.loaders.end();

    placement_decision decision;
    if (needs_adapter && replica_count > 1) {
        for (const auto* engine : groups.loaders) {
            if (engine <= &ranking[replica_count - 1]) {
                decision.replicas.push_back(engine->state->entry.id);
            }
        }
    }
    if (!groups.ready_engines.empty()) {
        const auto& best = pick_ready_engine(query, groups.ready_engines, replica_count, limits);
        const bool is_busy = needs_adapter && best.load >= limits.busy;
        if (is_busy && groups.loading == nullptr && has_spare_loader) {
            decision.replicas.push_back((*spare_loader)->state->entry.id);
        }
        // Queueing at an engine with a full batch takes longer than a load.
        const bool may_start_sooner = groups.loading != nullptr || has_spare_loader;
        if (best.load < limits.slots || !may_start_sooner) {
            decision.destination = send_to{best.state->entry.id};
            return decision;
        }
    }
    // An adapter that is resident nowhere is loaded on its first-ranked engine even if that is
    // busy: elsewhere it would cost one more load from the store, now and at each later request.
    const ranked_engine* target = groups.loading;
    if (target == nullptr && groups.ready_engines.empty() && !groups.loaders.empty()) {
        target = groups.loaders.front();
    }
    if (target == nullptr && has_spare_loader) {
        target = *spare_loader;
    }
    if (target == nullptr) {
        target = groups.unreported;
    }
    if (target == nullptr && groups.are_all_starting) {
        target = &ranking.front();
    }
    if (target == nullptr || !query.may_load) {
        decision.replicas.clear();
        decision.destination = no_upstream{true, std::nullopt, 0};
    }
    else {
        decision.destination = wait_for_adapter{target->state->entry.id};
    }
    return decision;
}

} // namespace snipespar::gateway
