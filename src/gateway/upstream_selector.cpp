#include "gateway/upstream_selector.h"

#include "gateway/engine_ranking.h"
#include "gateway/service_rule.h"
#include "gateway/upstream_candidates.h"
#include "gateway/upstream_table.h"

#include <algorithm>

namespace snipespar::gateway {

namespace {

// Weight of the failure rate relative to the load: a failure rate of 1 counts as four more calls
// per slot.
constexpr double failure_weight = 4.0;
// Load, in calls, added to upstreams of another failure domain, so that equally loaded ones of the
// own domain are preferred.
constexpr double distance_weight = 0.3;

} // namespace

placement_decision upstream_selector::choose(const placement_query& query,
                                             const service_rule& service,
                                             const upstream_table& table, int gateways,
                                             time_point now)
{
    const auto found = find_candidates(query, service, table, now, [](const auto&, standing) {});
    if (!found.has_version) {
        no_upstream gone;
        gone.is_version_gone = true;
        return {gone, {}};
    }
    if (found.upstreams.empty()) {
        return {no_upstream{found.opens_at.has_value(), found.opens_at, found.rate_per_s}, {}};
    }
    if (service.engine) {
        return choose_engine(query, service, found.upstreams, gateways, now);
    }
    return {choose_plain(query, found.upstreams, gateways, now), {}};
}

plain_chooser::need upstream_selector::need_of(const placement_query& query, int gateways)
{
    return {query.route, query.aim, query.wanted_by, query.needs_room, gateways};
}

double upstream_selector::cost_of(const upstream_state& state) const
{
    const double distance = state.entry.failure_domain == own_domain_ ? 0.0 : distance_weight;
    const double slots = std::max(state.entry.slots, 1);
    return state.in_flight + distance +
           failure_weight * slots * std::max(state.failure_rate - 0.2, 0.0);
}

placement upstream_selector::choose_plain(const placement_query& query,
                                          const std::vector<const upstream_state*>& candidates,
                                          int gateways, time_point now)
{
    if (const auto choice = plain_.choose(need_of(query, gateways), candidates, random_, now)) {
        if (choice->upstream == nullptr) {
            return no_upstream{true, choice->opens_at, choice->rate_per_s, false, true};
        }
        return send_to{choice->upstream->entry.id};
    }
    std::uniform_real_distribution<double> jitter(0, max_jitter);
    const upstream_state* best = nullptr;
    double lowest_cost = 0;
    for (const auto* state : candidates) {
        const double cost = cost_of(*state) + jitter(random_);
        if (best == nullptr || cost < lowest_cost) {
            best = state;
            lowest_cost = cost;
        }
    }
    return send_to{best->entry.id};
}

// Picks one of the first ready engines, or the least busy of all if that one is busy.
const ranked_engine& upstream_selector::pick_ready_engine(const engine_ranking& ranking)
{
    const auto& ready_engines = ranking.ready();
    const auto& limits = ranking.limits();
    if (const auto* home = ranking.home(); home != nullptr && !limits.is_busy(*home)) {
        return *home;
    }
    std::uniform_int_distribution<std::size_t> draw(0, ranking.drawn() - 1);
    const auto* first = ready_engines[draw(random_)];
    const auto* second = ready_engines[draw(random_)];
    const auto& less_busy = second->is_better_than(*first) ? *second : *first;
    if (!limits.is_busy(less_busy)) {
        return less_busy;
    }
    return **std::min_element(ready_engines.begin(), ready_engines.end(),
                              [](auto left, auto right) { return left->is_better_than(*right); });
}

placement_decision
upstream_selector::choose_engine(const placement_query& query, const service_rule& service,
                                 const std::vector<const upstream_state*>& candidates, int gateways,
                                 time_point now)
{
    const engine_ranking ranking(query, *service.engine, candidates, gateways, now);
    const auto& limits = ranking.limits();
    const auto& loaders = ranking.loaders();
    const auto* const loading = ranking.loading();
    const bool needs_adapter = !query.adapter.empty();
    const auto spare_loader = std::find_if(loaders.begin(), loaders.end(), [&](const auto* engine) {
        return engine->load < limits.busy;
    });
    const bool has_spare_loader = spare_loader != loaders.end();

    placement_decision decision;
    if (needs_adapter && ranking.replicas() > 1) {
        for (const auto* engine : loaders) {
            if (engine <= &ranking.engines()[ranking.replicas() - 1]) {
                decision.replicas.push_back(engine->state->entry.id);
            }
        }
    }
    if (!ranking.ready().empty()) {
        const auto& best = pick_ready_engine(ranking);
        const bool is_busy = needs_adapter && best.load >= limits.busy;
        if (is_busy && loading == nullptr && has_spare_loader) {
            decision.replicas.push_back((*spare_loader)->state->entry.id);
        }
        // Queueing at an engine with a full batch takes longer than a load.
        const bool may_start_sooner = loading != nullptr || has_spare_loader;
        if (best.load < limits.slots || !may_start_sooner) {
            decision.destination = send_to{best.state->entry.id};
            return decision;
        }
    }
    // An adapter that is resident nowhere is loaded on its first-ranked engine even if that is
    // busy: elsewhere it would cost one more load from the store, now and at each later request.
    const ranked_engine* target = loading;
    if (target == nullptr && ranking.ready().empty() && !loaders.empty()) {
        target = loaders.front();
    }
    if (target == nullptr && has_spare_loader) {
        target = *spare_loader;
    }
    if (target == nullptr) {
        target = ranking.unreported();
    }
    if (target == nullptr && ranking.are_all_starting()) {
        target = &ranking.engines().front();
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
