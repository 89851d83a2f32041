#pragma once

#include "gateway/plain_chooser.h"
#include "gateway/upstream_state.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace snipespar::gateway {

struct service_rule;
class upstream_table;
struct load_limits;
struct ranked_engine;

/// Requirements of a call on the upstream that runs it.
struct placement_query {
    std::string service;
    /// `model/adapter`; empty if the call needs no adapter.
    std::string adapter;
    std::string model;
    /// Lowest acceptable version of the adapter.
    std::uint64_t min_version = 0;
    /// Upstreams that must not be chosen, such as those already tried.
    std::set<upstream_id> excluded;
    /// Share of this gateway's calls that use the adapter, 0 to 1.
    double share = 0;
    /// Hash of the prompt parts that the call shares with its session, and their token count.
    std::uint64_t session = 0;
    std::uint64_t shared_tokens = 0;
    /// Whether the adapter may be loaded on further engines for the call.
    bool may_load = true;
    /// Whether the call may ask for a permit, which upstreams with a request rate need.
    bool may_ask_for_permit = true;
    /// The software version that began the stream; empty if any can run the call.
    std::string software = {};
    /// Route of the call; what plain calls cost is learned by it.
    std::string route = {};
    /// Time to the first event, or to the complete response, that the caller expects.
    duration aim{};
    /// What a plain call needs beside, where upstreams state their load (`plain_chooser::need`).
    time_point wanted_by = time_point::max();
    bool needs_room = false;
    /// Prompt of the call, which an engine has to read.
    std::uint64_t prompt_tokens = 0;
};

/// The call can be sent immediately.
struct send_to {
    upstream_id upstream;

    friend bool operator==(const send_to&, const send_to&) = default;
};

/// The adapter has to be loaded at this upstream first.
struct wait_for_adapter {
    upstream_id upstream;

    friend bool operator==(const wait_for_adapter&, const wait_for_adapter&) = default;
};

/// No upstream can accept the call.
struct no_upstream {
    /// Upstreams exist, but all of them are full.
    bool is_overloaded = false;
    /// When the first of the closed upstreams opens, if no other one is left.
    std::optional<time_point> opens_at;
    /// Requests per second that the closed upstreams take together; 0 if one of them named none.
    double rate_per_s = 0;
    /// No upstream of the required software version serves any more.
    bool is_version_gone = false;
    /// Upstreams are open, but none is forecast to finish the call when it is wanted.
    bool is_backlogged = false;

    friend bool operator==(const no_upstream&, const no_upstream&) = default;
};

using placement = std::variant<send_to, wait_for_adapter, no_upstream>;

/// Where a call runs, and further replicas that its adapter should get.
struct placement_decision {
    placement destination;
    /// Engines that should load the adapter for calls to come; this call does not wait for them.
    std::vector<upstream_id> replicas;

    friend bool operator==(const placement_decision&, const placement_decision&) = default;
};

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

private:
    placement choose_plain(const placement_query& query,
                           const std::vector<const upstream_state*>& candidates, int gateways,
                           time_point now);
    placement_decision choose_engine(const placement_query& query, const service_rule& service,
                                     std::vector<const upstream_state*> candidates, int gateways,
                                     time_point now);
    const ranked_engine& pick_ready_engine(const placement_query& query,
                                           const std::vector<const ranked_engine*>& ready_engines,
                                           std::size_t replica_count, const load_limits& limits);

    failure_domain_id own_domain_;
    plain_chooser plain_;
    std::mt19937_64 random_;
};

} // namespace snipespar::gateway
