#pragma once

#include "gateway/placement_decision.h"
#include "gateway/placement_query.h"
#include "gateway/plain_chooser.h"
#include "gateway/upstream_state.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace snipespar::gateway {

struct service_rule;
class engine_ranking;
class upstream_table;
struct ranked_engine;

/// Chooses the upstream of each call. Rendezvous hashing ranks the engines for each adapter. The
/// number of replicas, taken from the top of the ranking, is proportional to the adapter's share of
/// the calls, plus one while all of them are busy. A call goes to the less busy one of two randomly
/// drawn replicas: the load known to gateways is stale, so that all of them would pick the least
/// busy one. Calls with a long shared prompt return to the replica that has read it unless that is
/// busy.
///
/// Where sidecars state what their engines still have to do, the less busy engine is the one that
/// is predicted to begin the call sooner.
/// Plain services that state their load are left to `plain_chooser`.
class upstream_selector {
public:
    /// `gateways`: number of gateways that share the upstreams.
    upstream_selector(failure_domain_id own_domain, std::uint64_t seed)
        : own_domain_(std::move(own_domain)), plain_(own_domain_), random_(seed)
    {
    }

    placement_decision choose(const placement_query& query, const service_rule& service,
                              const upstream_table& table, int gateways, time_point now);

    /// What plain calls cost and take.
    finish_forecaster& forecaster() { return plain_.forecaster(); }

    const failure_domain_id& own_domain() const { return own_domain_; }
    const plain_chooser& plain() const { return plain_; }

    /// The need of a call of a plain service.
    static plain_chooser::need need_of(const placement_query& query, int gateways);

    /// Cost, in calls, of a plain upstream that does not state its load. A call goes to the lowest
    /// cost after a random part of up to `max_jitter` has been added to each.
    double cost_of(const upstream_state& state) const;
    static constexpr double max_jitter = 0.1;

private:
    placement choose_plain(const placement_query& query,
                           const std::vector<const upstream_state*>& candidates, int gateways,
                           time_point now);
    placement_decision choose_engine(const placement_query& query, const service_rule& service,
                                     const std::vector<const upstream_state*>& candidates,
                                     int gateways, time_point now);
    const ranked_engine& pick_ready_engine(const engine_ranking& ranking);

    failure_domain_id own_domain_;
    plain_chooser plain_;
    std::mt19937_64 random_;
};

} // namespace snipespar::gateway
