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

const ranked_engine& upstream_selector::pick_holder(const placement_query& query,
                                                    const std::vector<const ranked_engine*>& pool,
                                                    double busy)
{
    if (query.shared_tokens >= least_affinity_tokens) {
        const auto* home = *std::max_element(pool.begin(), pool.end(), [&](auto left, auto right) {
            return rendezvous_score(query.session, left->address_hash, 1.0) <
                   rendezvous_score(query.session, right->address_hash, 1.0);
        });
        if (home->load < busy) {
            return *home;
        }
    }
    std::uniform_int_distribution<std::size_t> draw(0, pool.size() - 1);
    const auto* first = pool[draw(random_)];
    const auto* second = pool[draw(random_)];
    return second->load < first->load ? *second : *first;
}

placement_decision upstream_selector::choose_engine(const placement_query& query,
                                                    const service_rule& service,
                                                    std::vector<const upstream_state*> candidates,
                                                    int gateways, time_point now)
{
    prefer(candidates,
           [](const auto* state) { return state->failure_rate < unsound_failure_rate; });
    const double slots = std::max(service.engine->slots, 1);
    const auto key = stable_hash(query.adapter.empty() ? query.model : query.adapter);
    std::vector<ranked_engine> ranking;
    double sum = 0;
    for (const auto* state : candidates) {
        // Ranked by address, which a restart of the engine keeps.
        const auto candidate = stable_hash(state->entry.address.str());
        const double load = load_of(*state, gateways);
        ranking.push_back({rendezvous_score(key, candidate, 1.0), load, candidate, state});
        sum += load;
    }
    std::sort(ranking.begin(), ranking.end(),
              [](const auto& left, const auto& right) { return left.score > right.score; });
    const double average = sum / static_cast<double>(ranking.size());
    const double busy = std::min(busy_factor * average + busy_margin, slots);
    const double full = slots * (1 + queue_share);

    std::vector<const ranked_engine*> holders;
    const ranked_engine* loading = nullptr;
    // Engines that can load the adapter, in the order of the ranking.
    std::vector<const ranked_engine*> loaders;
    const upstream_state* unheard = nullptr;
    // No engine has its base model, as after a loss of power: the first of the ranking is awaited.
    bool are_all_starting = true;
    for (const auto& engine : ranking) {
        const auto* state = engine.state;
        are_all_starting = are_all_starting && state->status && state->status->models.empty();
        if (holds(*state, query)) {
            if (engine.load < full) {
                holders.push_back(&engine);
            }
        }
        else if (!state->status) {
            unheard = unheard == nullptr ? state : unheard;
        }
        else if (engine.load >= full) {
            continue;
        }
        else if (is_loading(*state, query)) {
            loading = loading == nullptr ? &engine : loading;
        }
        else if (upstream_table::can_load(*state, query.model, now) && !state->status->is_full) {
            loaders.push_back(&engine);
        }
    }

    placement_decision decision;
    const bool is_bound = !query.adapter.empty();
    const auto wanted = is_bound ? wanted_replicas(query.share, ranking.size()) : ranking.size();
    if (is_bound && wanted > 1) {
        const auto* last = &ranking[wanted - 1];
        for (const auto* engine : loaders) {
            if (engine <= last) {
                decision.replicas.push_back(engine->state->entry.id);
            }
        }
    }
    const auto relief = std::find_if(loaders.begin(), loaders.end(),
                                     [&](const auto* engine) { return engine->load < busy; });
    if (!holders.empty()) {
        const auto pool_size = static_cast<std::ptrdiff_t>(std::min(holders.size(), wanted));
        const std::vector pool(holders.begin(), holders.begin() + pool_size);
        const auto* best = &pick_holder(query, pool, busy);
        if (best->load >= busy) {
            best = *std::min_element(holders.begin(), holders.end(), [](auto left, auto right) {
                return left->load < right->load;
            });
        }
        const bool is_crowded = is_bound && best->load >= busy;
        if (is_crowded && loading == nullptr && relief != loaders.end()) {
            decision.replicas.push_back((*relief)->state->entry.id);
        }
        // An engine whose batch is full makes a call wait longer than a load takes.
        if (best->load < slots || (loading == nullptr && relief == loaders.end())) {
            decision.where = send_to{best->state->entry.id};
            return decision;
        }
    }
    // An adapter that no engine holds is loaded at its home even when that is busy: elsewhere it
    // would be one more load from the store, now and whenever it is asked for again.
    const ranked_engine* target = loading;
    if (target == nullptr && holders.empty() && !loaders.empty()) {
        target = loaders.front();
    }
    if (target == nullptr && relief != loaders.end()) {
        target = *relief;
    }
    if (target != nullptr) {
        decision.where = wait_for_adapter{target->state->entry.id};
    }
    else if (unheard != nullptr) {
        decision.where = wait_for_adapter{unheard->entry.id};
    }
    else if (are_all_starting) {
        decision.where = wait_for_adapter{ranking.front().state->entry.id};
    }
    else {
        decision.where = no_upstream{true};
    }
    return decision;
}

} // namespace snipespar::gateway
