#include "gateway/engine_ranking.h"

#include "base/stable_hash.h"
#include "gateway/engine_forecast.h"
#include "gateway/placement_query.h"
#include "gateway/service_rule.h"
#include "gateway/upstream_table.h"

#include <algorithm>
#include <cmath>

namespace snipespar::gateway {

namespace {

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
double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

// Number of replicas for an adapter with this share of all calls.
std::size_t target_replicas(double share, std::size_t engines)
{
    const double worth = share * static_cast<double>(engines) * replica_headroom;
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(worth)), 1, engines);
}

} // namespace

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

engine_ranking::engine_ranking(const placement_query& query, const engine_rule& rule,
                               const std::vector<const upstream_state*>& candidates, int gateways,
                               time_point now)
    : query_(query), now_(now)
{
    rank(candidates, gateways);
    set_limits(std::max(rule.slots, 1));
    replicas_ =
        query.adapter.empty() ? engines_.size() : target_replicas(query.share, engines_.size());
    group();
}

void engine_ranking::rank(const std::vector<const upstream_state*>& candidates, int gateways)
{
    const engine_forecast forecast(candidates);
    const auto key = stable_hash(query_.adapter.empty() ? query_.model : query_.adapter);
    engines_.reserve(candidates.size());
    for (const auto* state : candidates) {
        engines_.push_back(
            {rendezvous_score(key, state->address_hash, 1.0), load_of(*state, gateways),
             forecast.start_ms(*state, query_.prompt_tokens), state->address_hash, state});
    }
    std::sort(engines_.begin(), engines_.end(),
              [](const auto& left, const auto& right) { return left.score > right.score; });
}

void engine_ranking::set_limits(double slots)
{
    double sum = 0;
    for (const auto& engine : engines_) {
        sum += engine.load;
    }
    const double average = sum / static_cast<double>(engines_.size());
    limits_ = {slots, std::min(busy_factor * average + busy_margin, slots),
               slots * (1 + queue_share)};
    if (query_.aim > duration{}) {
        limits_.busy_ms = busy_target_share * to_ms(query_.aim);
    }
}

standing engine_ranking::standing_of(const ranked_engine& engine) const
{
    const auto& state = *engine.state;
    const bool has_room = engine.load < limits_.full;
    if (is_resident(state, query_)) {
        return has_room ? standing::ready : standing::full;
    }
    if (!state.status) {
        return standing::unreported;
    }
    if (!has_room) {
        return standing::full;
    }
    if (is_loading(state, query_)) {
        return standing::loading;
    }
    return upstream_table::can_load(state, query_.model, now_) && !state.status->is_full
               ? standing::may_load
               : standing::cannot_load;
}

void engine_ranking::group()
{
    for (const auto& engine : engines_) {
        const auto& status = engine.state->status;
        are_all_starting_ = are_all_starting_ && status && status->models.empty();
        switch (standing_of(engine)) {
        case standing::ready:
            ready_.push_back(&engine);
            break;
        case standing::unreported:
            unreported_ = unreported_ == nullptr ? &engine : unreported_;
            break;
        case standing::loading:
            loading_ = loading_ == nullptr ? &engine : loading_;
            break;
        case standing::may_load:
            loaders_.push_back(&engine);
            break;
        default:
            break;
        }
    }
}

std::size_t engine_ranking::drawn() const
{
    return std::min(ready_.size(), replicas_);
}

const ranked_engine* engine_ranking::home() const
{
    if (query_.shared_tokens < min_affinity_tokens || ready_.empty()) {
        return nullptr;
    }
    const auto end = ready_.begin() + static_cast<std::ptrdiff_t>(drawn());
    return *std::max_element(ready_.begin(), end, [&](const auto* left, const auto* right) {
        return rendezvous_score(query_.session, left->address_hash, 1.0) <
               rendezvous_score(query_.session, right->address_hash, 1.0);
    });
}

} // namespace snipespar::gateway
