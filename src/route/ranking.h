#pragma once

#include "config/upstream.h"
#include "route/request_lifecycle.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipespar::route {

class upstream_view;

/// Limits of the choice of upstream.
struct ranking_limits {
    /// Engines over which the hottest adapter spreads.
    std::uint32_t max_width = 8;
    /// Engines over which every adapter may spread.
    std::uint32_t min_width = 2;
    /// Demand at this entry that takes one more engine, in tokens a second.
    double tokens_per_s_per_engine = 400;
    /// A wider spread is kept until demand falls below this part of what called for it.
    double shrink_fraction = 0.7;
    /// Cost of a load, in waiting time.
    duration load_cost = std::chrono::seconds(1);
    /// Waiting time that is accepted for an engine whose prefix cache is more likely to help.
    duration locality_bonus = std::chrono::milliseconds(50);
    /// Cost of leaving the entry's failure domain.
    duration crossing_cost = std::chrono::milliseconds(1);
    /// When to come back if no upstream is left.
    duration retry_after = std::chrono::seconds(2);

    friend bool operator==(const ranking_limits&, const ranking_limits&) = default;
};

/// What a model request needs of an engine.
struct engine_request {
    adapter_ref adapter;
    std::string base_model;
    /// Hash of the start of the prompt; requests with the same one share two engines.
    std::optional<std::uint64_t> prefix_hash;
    /// Demand for the adapter at this entry, in tokens a second.
    double demand_tokens_per_s = 0;

    friend bool operator==(const engine_request&, const engine_request&) = default;
};

/// Chooses the upstream of each attempt.
///
/// Every entry ranks the engines of an adapter alike, by weighted rendezvous hashing. The first
/// few of them serve it, more as demand grows; among two of these, picked by the prompt's prefix,
/// the one with the lower cost in waiting time gets the request. Plain services are chosen by
/// load from two picked at random, within the entry's failure domain where that serves as well.
/// An upstream that is leaving or has no link is never chosen; an ejected one only if no other is
/// left.
class ranking {
public:
    ranking(ranking_limits limits, failure_domain_id own_domain, std::uint64_t seed);

    /// Chooses an engine that is not among those tried.
    upstream_choice choose_engine(const upstream_view& view, const engine_request& request,
                                  std::span<const upstream_id> tried, time_point now);

    /// Chooses an instance of a plain service that is not among those tried.
    upstream_choice choose_service(const upstream_view& view, const std::string& service,
                                   std::span<const upstream_id> tried, time_point now);

    /// Changes the cost of a load, as the weight store gets slower or faster.
    void set_load_cost(duration cost) { limits_.load_cost = cost; }

    /// Adapters whose ranking is remembered.
    std::size_t remembered() const { return adapters_.size(); }

private:
    using index_list = std::vector<std::uint32_t>;
    struct adapter_entry {
        index_list order;
        std::uint32_t width = 0;
    };
    enum class health { sound, any };

    void follow_membership(const upstream_view& view);
    adapter_entry& entry_of(const upstream_view& view, const engine_request& request,
                            std::uint64_t adapter_hash);
    std::uint32_t widen(adapter_entry& entry, double demand) const;
    index_list select(const upstream_view& view, std::span<const std::uint32_t> order,
                      std::span<const upstream_id> tried, std::size_t count, health wanted,
                      time_point now) const;
    index_list engine_candidates(const upstream_view& view, const engine_request& request,
                                 std::uint64_t adapter_hash, std::span<const upstream_id> tried,
                                 time_point now);
    void order_by_prefix(const upstream_view& view, const engine_request& request,
                         index_list& candidates);
    duration cost(const upstream_view& view, std::uint32_t index, time_point now) const;
    std::uint32_t pick(const index_list& candidates);

    ranking_limits limits_;
    failure_domain_id own_domain_;
    std::mt19937_64 random_;
    std::uint64_t membership_ = 0;
    std::unordered_map<std::uint64_t, adapter_entry> adapters_;
    std::unordered_map<std::string, index_list> services_;
};

} // namespace snipespar::route
