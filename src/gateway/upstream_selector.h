#pragma once

#include "gateway/upstream_state.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace snipespar::gateway {

struct service_rule;
class upstream_table;
struct ranked_engine;

/// What a call needs of the upstream that runs it.
struct placement_query {
    std::string service;
    /// `model/adapter`; empty when any upstream of the service will do.
    std::string adapter;
    std::string model;
    /// Lowest version of the adapter that may still be used.
    std::uint64_t least_version = 0;
    /// Upstreams that the call must not go to (again).
    std::set<upstream_id> excluded;
    /// Share of this gateway's calls that the adapter draws, 0 to 1.
    double share = 0;
    /// Hash of the prompt parts that the call shares with its session, and their tokens.
    std::uint64_t session = 0;
    std::uint64_t shared_tokens = 0;
};

/// The call can be sent now.
struct send_to {
    upstream_id upstream;

    friend bool operator==(const send_to&, const send_to&) = default;
};

/// The adapter has to be loaded at this upstream first.
struct wait_for_adapter {
    upstream_id upstream;

    friend bool operator==(const wait_for_adapter&, const wait_for_adapter&) = default;
};

/// No upstream can take the call.
struct no_upstream {
    /// There are upstreams, but all of them are full.
    bool is_overloaded = false;

    friend bool operator==(const no_upstream&, const no_upstream&) = default;
};

using placement = std::variant<send_to, wait_for_adapter, no_upstream>;

/// Where a call runs, and what that call's adapter needs besides.
struct placement_decision {
    placement where;
    /// Engines that should load the adapter for calls to come; this call does not wait for them.
    std::vector<upstream_id> replicas;

    friend bool operator==(const placement_decision&, const placement_decision&) = default;
};

/// Chooses where calls run. Each adapter has a ranking of the engines (rendezvous hashing). As many
/// of the first ones hold it as its share of the calls is worth engines, and one more while all of
/// those are busy. A call goes to the less busy one of two that are drawn from the holders, since
/// what gateways know of the load is old enough for all of them to rush to the least busy one.
/// Calls with a long shared prompt return to the holder that has read it, while that is not busy.
class upstream_selector {
public:
    /// `gateways` of this kind share the upstreams.
    upstream_selector(failure_domain_id own_domain, std::uint64_t seed)
        : own_domain_(std::move(own_domain)), random_(seed)
    {
    }

    placement_decision choose(const placement_query& query, const service_rule& service,
                              const upstream_table& table, int gateways, time_point now);

private:
    placement choose_plain(const std::vector<const upstream_state*>& candidates);
    placement_decision choose_engine(const placement_query& query, const service_rule& service,
                                     std::vector<const upstream_state*> candidates, int gateways,
                                     time_point now);
    const ranked_engine& pick_holder(const placement_query& query,
                                     const std::vector<const ranked_engine*>& holders,
                                     std::size_t wanted, double busy);

    failure_domain_id own_domain_;
    std::mt19937_64 random_;
};

} // namespace snipespar::gateway
