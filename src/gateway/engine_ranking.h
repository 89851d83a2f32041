#pragma once

#include "gateway/load_limits.h"
#include "gateway/ranked_engine.h"
#include "gateway/standing.h"
#include "snipespar/time.h"

#include <cstddef>
#include <vector>

namespace snipespar::gateway {

struct engine_rule;
struct placement_query;

/// The engines to which a call may go, in the order in which its adapter is placed on them, and
/// what the call finds at each. Holds for the moment for which it is made, and no longer than the
/// query and the states.
class engine_ranking {
public:
    /// `candidates`: one or more engines of one service. `gateways`: number of gateways that share
    /// them.
    engine_ranking(const placement_query& query, const engine_rule& rule,
                   const std::vector<const upstream_state*>& candidates, int gateways,
                   time_point now);
    ~engine_ranking() = default;
    engine_ranking(const engine_ranking&) = delete;
    engine_ranking& operator=(const engine_ranking&) = delete;

    /// The first-ranked one first.
    const std::vector<ranked_engine>& engines() const { return engines_; }
    const load_limits& limits() const { return limits_; }
    const placement_query& query() const { return query_; }

    /// Engines on which the adapter should be, from the top of the ranking.
    std::size_t replicas() const { return replicas_; }

    /// Engines on which it is resident and that are not full, in ranking order.
    const std::vector<const ranked_engine*>& ready() const { return ready_; }
    /// How many of those, from the first, a call is drawn from.
    std::size_t drawn() const;
    /// The one of those to which a call with a long shared prompt returns; null for other calls.
    const ranked_engine* home() const;

    /// Engines that can load it, in ranking order.
    const std::vector<const ranked_engine*>& loaders() const { return loaders_; }
    /// The first engine that is loading it, or null.
    const ranked_engine* loading() const { return loading_; }
    /// The first engine whose sidecar has not reported yet, or null.
    const ranked_engine* unreported() const { return unreported_; }
    /// Whether no engine has loaded a base model, as after a power loss.
    bool are_all_starting() const { return are_all_starting_; }

    /// What the call finds at the engine.
    standing standing_of(const ranked_engine& engine) const;

private:
    void rank(const std::vector<const upstream_state*>& candidates, int gateways);
    void set_limits(double slots);
    void group();

    const placement_query& query_;
    time_point now_;
    std::vector<ranked_engine> engines_;
    load_limits limits_;
    std::size_t replicas_ = 0;
    std::vector<const ranked_engine*> ready_;
    std::vector<const ranked_engine*> loaders_;
    const ranked_engine* loading_ = nullptr;
    const ranked_engine* unreported_ = nullptr;
    bool are_all_starting_ = true;
};

/// Calls that run or wait at the upstream: the reported ones plus those sent since the report.
double load_of(const upstream_state& state, int gateways);

/// Whether the model, or the adapter in a version that the call accepts, is loaded there.
bool is_resident(const upstream_state& state, const placement_query& query);

/// Whether the engine is loading the adapter.
bool is_loading(const upstream_state& state, const placement_query& query);

} // namespace snipespar::gateway
