#include "gateway/upstream_selector.h"

#include "base/stable_hash.h"
#include "gateway/service_rule.h"
#include "gateway/upstream_table.h"

#include <algorithm>
#include <numeric>

namespace snipespar::gateway {

namespace {

// Weight of the failure rate against the load: an upstream that fails every call counts as four
// more calls a slot.
constexpr double failure_weight = 4.0;
// Share of a call by which an upstream of another failure domain counts as busier, so that equal
// ones nearby are preferred.
constexpr double distance_weight = 0.3;
// An engine is busy when it runs this much more than the average of its service.
constexpr double busy_factor = 1.3;
constexpr double busy_margin = 5.0;
// Calls that wait at an engine beyond its slots, as a share of the slots.
constexpr double queue_share = 0.5;
// A sidecar sends a status at least twice a second; after this silence nothing can be loaded there.
constexpr auto sidecar_silence = std::chrono::milliseconds(1600);
// Failure rate above which an engine is passed over while others are sound.
constexpr double unsound_failure_rate = 0.35;

// Calls that run or wait at the upstream: what it told, and what was sent there since.
double load_of(const upstream_state& state, int gateways)
{
    if (!state.status) {
        return static_cast<double>(state.in_flight) * gateways;
    }
    const int sent_since = std::max(state.in_flight - state.in_flight_at_status, 0);
    return std::max(state.status->running + state.status->waiting, state.in_flight) + sent_since;
}

bool holds(const upstream_state& state, const placement_query& query)
{
    if (!state.status) {
        return query.adapter.empty();
    }
    if (query.adapter.empty()) {
        const auto& models = state.status->models;
        return std::find(models.begin(), models.end(), query.model) != models.end();
    }
    const auto found = state.status->adapters.find(query.adapter);
    return found != state.status->adapters.end() && found->second >= query.least_version;
}

bool is_loading(const upstream_state& state, const placement_query& query)
{
    return state.status && std::find(state.status->loading.begin(), state.status->loading.end(),
                                     query.adapter) != state.status->loading.end();
}

bool can_load(const upstream_state& state, const placement_query& query, time_point now)
{
    if (!state.status || now - state.status_at > sidecar_silence) {
        return false;
    }
    const auto& models = state.status->models;
    return std::find(models.begin(), models.end(), query.model) != models.end();
}

// Leaves only those that satisfy the condition, if any does.
template <class Condition>
void prefer(std::vector<const upstream_state*>& candidates, Condition condition)
{
    if (std::any_of(candidates.begin(), candidates.end(), condition)) {
        std::erase_if(candidates, [&](const auto* state) { return !condition(state); });
    }
}

} // namespace

placement upstream_selector::choose(const placement_query& query, const service_rule& service,
                                    const upstream_table& table, int gateways, time_point now)
{
    std::vector<const upstream_state*> candidates;
    for (const auto& [id, state] : table.all()) {
        if (state.entry.service == query.service && upstream_table::is_open(state, now) &&
            !query.excluded.contains(id)) {
            candidates.push_back(&state);
        }
    }
    prefer(candidates, [&](const auto* state) { return now >= state->ejected_until; });
    prefer(candidates, [&](const auto* state) { return !state->gone_at; });
    prefer(candidates, [&](const auto* state) { return !upstream_table::is_silent(*state, now); });
    if (candidates.empty()) {
        return no_upstream{};
    }
    return service.engine ? choose_engine(query, service, std::move(candidates), gateways, now)
                          : choose_plain(candidates, gateways);
}

placement upstream_selector::choose_plain(const std::vector<const upstream_state*>& candidates,
                                          int gateways)
{
    static_cast<void>(gateways);
    std::uniform_real_distribution<double> jitter(0, 0.1);
    const upstream_state* best = nullptr;
    double least = 0;
    for (const auto* state : candidates) {
        const double distance = state->entry.failure_domain == own_domain_ ? 0.0 : distance_weight;
        const double slots = std::max(state->entry.slots, 1);
        const double cost = state->in_flight + distance +
                            failure_weight * slots * std::max(state->failure_rate - 0.2, 0.0) +
                            jitter(random_);
        if (best == nullptr || cost < least) {
            best = state;
            least = cost;
        }
    }
    return send_to{best->entry.id};
}

placement upstream_selector::choose_engine(const placement_query& query,
                                           const service_rule& service,
                                           std::vector<const upstream_state*> candidates,
                                           int gateways, time_point now)
{
    prefer(candidates,
           [](const auto* state) { return state->failure_rate < unsound_failure_rate; });
    std::map<const upstream_state*, double> loads;
    double sum = 0;
    for (const auto* state : candidates) {
        loads[state] = load_of(*state, gateways);
        sum += loads[state];
    }
    const double slots = std::max(service.engine->slots, 1);
    const double average = sum / static_cast<double>(candidates.size());
    const double busy = std::min(busy_factor * average + busy_margin, slots);
    const double full = slots * (1 + queue_share);

    const auto key = stable_hash(query.adapter.empty() ? query.model : query.adapter);
    std::vector<std::pair<double, const upstream_state*>> ranking;
    for (const auto* state : candidates) {
        // Ranked by address, which a restart of the engine keeps.
        const auto candidate = stable_hash(state->entry.address.str());
        ranking.emplace_back(rendezvous_score(key, candidate, 1.0), state);
    }
    std::sort(ranking.begin(), ranking.end(), std::greater<>{});

    const upstream_state* held = nullptr;
    const upstream_state* least_held = nullptr;
    const upstream_state* loading = nullptr;
    // The first engine of the ranking that can load the adapter, and the first that is not busy.
    const upstream_state* home = nullptr;
    const upstream_state* relief = nullptr;
    const upstream_state* unheard = nullptr;
    for (const auto& [score, state] : ranking) {
        const double load = loads[state];
        if (holds(*state, query)) {
            if (least_held == nullptr || load < loads[least_held]) {
                least_held = state;
            }
            if (held == nullptr && load < busy) {
                held = state;
            }
        }
        else if (!state->status) {
            unheard = unheard == nullptr ? state : unheard;
        }
        else if (load >= full) {
            continue;
        }
        else if (is_loading(*state, query)) {
            loading = loading == nullptr ? state : loading;
        }
        else if (can_load(*state, query, now) && !state->status->is_full) {
            home = home == nullptr ? state : home;
            if (relief == nullptr && load < busy) {
                relief = state;
            }
        }
    }
    if (query.adapter.empty()) {
        // No adapter binds the call to an engine, so the least busy one takes it.
        held = least_held;
    }
    if (held != nullptr && loads[held] < full) {
        return send_to{held->entry.id};
    }
    if (loading != nullptr) {
        return wait_for_adapter{loading->entry.id};
    }
    // An adapter that no engine holds is loaded at its home even when that is busy: elsewhere it
    // would be one more load from the store, now and whenever it is asked for again.
    const auto* target = least_held == nullptr ? home : relief;
    if (target != nullptr) {
        return wait_for_adapter{target->entry.id};
    }
    if (least_held != nullptr && loads[least_held] < full) {
        return send_to{least_held->entry.id};
    }
    if (unheard != nullptr) {
        return wait_for_adapter{unheard->entry.id};
    }
    return no_upstream{true};
}

} // namespace snipespar::gateway
