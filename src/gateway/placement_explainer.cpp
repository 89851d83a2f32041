#include "gateway/placement_explainer.h"

#include "gateway/engine_ranking.h"
#include "gateway/placement_query.h"
#include "gateway/service_rule.h"
#include "gateway/upstream_candidates.h"
#include "gateway/upstream_selector.h"
#include "gateway/upstream_table.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace snipespar::gateway {

namespace {

using residency = explained_upstream::residency;

constexpr double ms_per_s = 1000;

residency residency_of(const upstream_state& state, const placement_query& query)
{
    if (state.status && is_resident(state, query)) {
        return residency::resident;
    }
    return is_loading(state, query) ? residency::loading : residency::none;
}

std::optional<time_point> end_of(standing reason, const upstream_state& state)
{
    switch (reason) {
    case standing::closed:
        return std::max(state.closed_until, state.no_permits_until);
    case standing::cold:
        return state.no_permits_until;
    case standing::ejected:
        return state.ejected_until;
    default:
        return std::nullopt;
    }
}

// Collects what is known of each upstream.
class collector {
public:
    collector(const placement_query& query, const service_rule& service,
              const failure_domain_id& own_domain, int gateways, time_point now)
        : query_(query), service_(service), own_domain_(own_domain), gateways_(gateways), now_(now)
    {
    }

    explained_upstream describe(const upstream_state& state, standing value) const
    {
        explained_upstream result;
        result.id = state.entry.id;
        result.address = state.entry.address.str();
        result.failure_domain = state.entry.failure_domain;
        result.is_distant = state.entry.failure_domain != own_domain_;
        result.status = value;
        result.until = end_of(value, state);
        result.load = load_of(state, gateways_);
        result.in_flight = state.in_flight;
        result.is_cold = upstream_table::is_cold(state, service_, now_);
        result.rate_per_s = upstream_table::request_rate(state, service_, now_);
        result.is_paced = state.status && state.status->is_paced;
        if (service_.engine) {
            result.adapter = residency_of(state, query_);
        }
        if (state.status && state.status->workload.tokens_per_ms > 0) {
            result.waiting_tokens = state.status->workload.waiting_tokens;
            result.tokens_per_ms = state.status->workload.tokens_per_ms;
        }
        return result;
    }

private:
    const placement_query& query_;
    const service_rule& service_;
    const failure_domain_id& own_domain_;
    int gateways_;
    time_point now_;
};

void add_engines(const engine_ranking& ranking, const collector& describer,
                 placement_explanation& result)
{
    const auto& ready = ranking.ready();
    const auto* const home = ranking.home();
    const bool returns_home = home != nullptr && !ranking.limits().is_busy(*home);
    const auto drawn_end = ready.begin() + static_cast<std::ptrdiff_t>(ranking.drawn());
    const auto* const last_drawn = ranking.drawn() > 0 ? *(drawn_end - 1) : nullptr;
    // If all of them are busy, the least busy of all engines is taken instead.
    const bool has_calm = std::any_of(ready.begin(), drawn_end, [&](const auto* engine) {
        return !ranking.limits().is_busy(*engine);
    });
    const bool is_drawn = !returns_home && has_calm;
    for (const auto& engine : ranking.engines()) {
        auto item = describer.describe(*engine.state, ranking.standing_of(engine));
        item.weight = engine.score;
        if (engine.start_ms > 0) {
            item.start_ms = engine.start_ms;
        }
        item.is_drawn = is_drawn && item.status == standing::ready && &engine <= last_drawn;
        item.is_home = &engine == home;
        result.upstreams.push_back(std::move(item));
    }
    result.depends_on_draw = is_drawn && ranking.drawn() > 1;
    result.limits = ranking.limits();
}

void add_weighed(const plain_chooser::weighing& weighed, const collector& describer,
                 placement_explanation& result)
{
    double sum = 0;
    for (const auto& option : weighed.options) {
        sum += option.share;
    }
    std::size_t drawn = 0;
    for (const auto& option : weighed.options) {
        auto item = describer.describe(*option.upstream, standing::ready);
        item.load = option.forecast.backlog;
        item.finish_ms = option.forecast.finish_s() * ms_per_s;
        item.weight = sum > 0 ? option.share / sum : 0;
        item.is_drawn = option.share > 0;
        drawn += item.is_drawn ? 1 : 0;
        result.upstreams.push_back(std::move(item));
    }
    for (const auto& option : weighed.unfit) {
        auto item = describer.describe(*option.upstream, standing::backlogged);
        item.load = option.forecast.backlog;
        item.finish_ms = option.forecast.finish_s() * ms_per_s;
        result.upstreams.push_back(std::move(item));
    }
    result.weighed_by = placement_explanation::measure::share;
    result.depends_on_draw = drawn > 1;
}

void add_by_cost(const upstream_selector& selector, const upstream_candidates& found,
                 const collector& describer, placement_explanation& result)
{
    double lowest = std::numeric_limits<double>::max();
    for (const auto* state : found.upstreams) {
        lowest = std::min(lowest, selector.cost_of(*state));
    }
    std::size_t drawn = 0;
    for (const auto* state : found.upstreams) {
        auto item = describer.describe(*state, standing::ready);
        item.weight = selector.cost_of(*state);
        item.is_drawn = *item.weight <= lowest + upstream_selector::max_jitter;
        drawn += item.is_drawn ? 1 : 0;
        result.upstreams.push_back(std::move(item));
    }
    std::ranges::sort(result.upstreams, {},
                      [](const auto& item) { return std::pair(*item.weight, item.id); });
    result.weighed_by = placement_explanation::measure::calls;
    result.depends_on_draw = drawn > 1;
}

} // namespace

placement_explanation placement_explainer::explain(const placement_query& query,
                                                   const service_rule& service,
                                                   time_point now) const
{
    const collector describer(query, service, selector_.own_domain(), gateways_, now);
    std::vector<explained_upstream> excluded;
    const auto found = find_candidates(query, service, table_, now,
                                       [&](const upstream_state& state, standing reason) {
                                           excluded.push_back(describer.describe(state, reason));
                                       });
    std::ranges::sort(excluded, {}, [](const auto& item) { return item.id; });
    placement_explanation result;
    result.upstreams.reserve(found.upstreams.size() + excluded.size());
    if (!found.upstreams.empty() && service.engine) {
        add_engines({query, *service.engine, found.upstreams, gateways_, now}, describer, result);
    }
    else if (!found.upstreams.empty()) {
        const auto need = upstream_selector::need_of(query, gateways_);
        if (const auto weighed = selector_.plain().weigh(need, found.upstreams, now)) {
            add_weighed(*weighed, describer, result);
        }
        else {
            add_by_cost(selector_, found, describer, result);
        }
    }
    std::ranges::move(excluded, std::back_inserter(result.upstreams));
    auto copy = selector_;
    result.decision = copy.choose(query, service, table_, gateways_, now);
    return result;
}

} // namespace snipespar::gateway
