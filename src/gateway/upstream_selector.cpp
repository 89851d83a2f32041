#include "gateway/upstream_selector.h"

#include "base/stable_hash.h"
#include "gateway/service_rule.h"
#include "gateway/upstream_table.h"

#include <algorithm>
#include <cmath>

namespace snipespar::gateway {

/// An engine's place in the ranking of an adapter.
struct ranked_engine {
    double score = 0;
    double load = 0;
    std::uint64_t address_hash = 0;
    const upstream_state* state = nullptr;
};

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
// Shared prompt tokens from which a call returns to the engine that has read them: an engine reads
// about 38 in a millisecond, so that it saves more than an even load would.
constexpr std::uint64_t least_affinity_tokens = 1000;
// Room at the engines that hold an adapter beyond its share of the calls, so that its calls need
// not fill them alone.
constexpr double replica_headroom = 1.25;
// Calls that wait at an engine beyond its slots, as a share of the slots.
constexpr double queue_share = 0.5;
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

// Engines that should hold an adapter which draws this share of all calls.
std::size_t wanted_replicas(double share, std::size_t engines)
{
    const double worth = share * static_cast<double>(engines) * replica_headroom;
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(worth)), 1, engines);
}

/// Loads by which engines are told apart.
struct load_limits {
    /// Calls that an engine runs at once.
    double slots = 0;
    /// An engine with more is busier than the others.
    double busy = 0;
    /// An engine with more takes no further call.
    double full = 0;
};

/// The engines of a ranking by what they can do for one adapter; each group in ranking order.
struct engine_groups {
    /// They hold it and are not full.
    std::vector<const ranked_engine*> holders;
    /// They can load it.
    std::vector<const ranked_engine*> loaders;
    /// The first engine to which it is on its way.
    const ranked_engine* loading = nullptr;
    /// The first engine whose sidecar has not been heard yet.
    const ranked_engine* unheard = nullptr;
    /// No engine has its base model, as after a loss of power.
    bool are_all_starting = true;
};

std::vector<ranked_engine> rank(const placement_query& query,
                                const std::vector<const upstream_state*>& candidates, int gateways)
{
    const auto key = stable_hash(query.adapter.empty() ? query.model : query.adapter);
    std::vector<ranked_engine> ranking;
    ranking.reserve(candidates.size());
    for (const auto* state : candidates) {
        // Ranked by address, which a restart of the engine keeps.
        const auto candidate = stable_hash(state->entry.address.str());
        ranking.push_back(
            {rendezvous_score(key, candidate, 1.0), load_of(*state, gateways), candidate, state});
    }
    std::sort(ranking.begin(), ranking.end(),
              [](const auto& left, const auto& right) { return left.score > right.score; });
    return ranking;
}

load_limits limits_of(const std::vector<ranked_engine>& ranking, double slots)
{
    double sum = 0;
    for (const auto& engine : ranking) {
        sum += engine.load;
    }
    const double average = sum / static_cast<double>(ranking.size());
    return {slots, std::min(busy_factor * average + busy_margin, slots), slots * (1 + queue_share)};
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
        if (holds(state, query)) {
            if (has_room) {
                groups.holders.push_back(&engine);
            }
        }
        else if (!state.status) {
            groups.unheard = groups.unheard == nullptr ? &engine : groups.unheard;
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

// Leaves only those that satisfy the condition, if any does.
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
        return {no_upstream{}, {}};
    }
    if (service.engine) {
        return choose_engine(query, service, std::move(candidates), gateways, now);
    }
    return {choose_plain(candidates), {}};
}

placement upstream_selector::choose_plain(const std::vector<const upstream_state*>& candidates)
{
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

// The holder that takes the call: one of the first `wanted`, or the least busy of all when that one
// is busy.
const ranked_engine&
upstream_selector::pick_holder(const placement_query& query,
                               const std::vector<const ranked_engine*>& holders, std::size_t wanted,
                               double busy)
{
    const auto pool_size = std::min(holders.size(), wanted);
    const auto pool_end = holders.begin() + static_cast<std::ptrdiff_t>(pool_size);
    if (query.shared_tokens >= least_affinity_tokens) {
        const auto* home = *std::max_element(holders.begin(), pool_end, [&](auto left, auto right) {
            return rendezvous_score(query.session, left->address_hash, 1.0) <
                   rendezvous_score(query.session, right->address_hash, 1.0);
        });
        if (home->load < busy) {
            return *home;
        }
    }
    std::uniform_int_distribution<std::size_t> draw(0, pool_size - 1);
    const auto* first = holders[draw(random_)];
    const auto* second = holders[draw(random_)];
    const auto& less_busy = second->load < first->load ? *second : *first;
    if (less_busy.load < busy) {
        return less_busy;
    }
    return **std::min_element(holders.begin(), holders.end(),
                              [](auto left, auto right) { return left->load < right->load; });
}

placement_decision upstream_selector::choose_engine(const placement_query& query,
                                                    const service_rule& service,
                                                    std::vector<const upstream_state*> candidates,
                                                    int gateways, time_point now)
{
    prefer(candidates,
           [](const auto* state) { return state->failure_rate < unsound_failure_rate; });
    const auto ranking = rank(query, candidates, gateways);
    const auto limits = limits_of(ranking, std::max(service.engine->slots, 1));
    const auto groups = group(ranking, query, limits, now);
    const bool is_bound = !query.adapter.empty();
    const auto wanted = is_bound ? wanted_replicas(query.share, ranking.size()) : ranking.size();
    const auto relief =
        std::find_if(groups.loaders.begin(), groups.loaders.end(),
                     [&](const auto* engine) { return engine->load < limits.busy; });
    const bool has_relief = relief != groups.loaders.end();

    placement_decision decision;
    if (is_bound && wanted > 1) {
        for (const auto* engine : groups.loaders) {
            if (engine <= &ranking[wanted - 1]) {
                decision.replicas.push_back(engine->state->entry.id);
            }
        }
    }
    if (!groups.holders.empty()) {
        const auto& best = pick_holder(query, groups.holders, wanted, limits.busy);
        const bool is_crowded = is_bound && best.load >= limits.busy;
        if (is_crowded && groups.loading == nullptr && has_relief) {
            decision.replicas.push_back((*relief)->state->entry.id);
        }
        // An engine whose batch is full makes a call wait longer than a load takes.
        const bool may_come_sooner = groups.loading != nullptr || has_relief;
        if (best.load < limits.slots || !may_come_sooner) {
            decision.where = send_to{best.state->entry.id};
            return decision;
        }
    }
    // An adapter that no engine holds is loaded at its home even when that is busy: elsewhere it
    // would be one more load from the store, now and whenever it is asked for again.
    const ranked_engine* target = groups.loading;
    if (target == nullptr && groups.holders.empty() && !groups.loaders.empty()) {
        target = groups.loaders.front();
    }
    if (target == nullptr && has_relief) {
        target = *relief;
    }
    if (target == nullptr) {
        target = groups.unheard;
    }
    if (target == nullptr && groups.are_all_starting) {
        target = &ranking.front();
    }
    if (target == nullptr) {
        decision.where = no_upstream{true};
    }
    else {
        decision.where = wait_for_adapter{target->state->entry.id};
    }
    return decision;
}

} // namespace snipespar::gateway
