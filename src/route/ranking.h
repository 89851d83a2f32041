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

/// Parameters of the choice of upstream.
struct ranking_limits {
    /// Maximum number of engines per adapter.
    std::uint32_t max_width = 8;
    /// Minimum number of engines per adapter.
    std::uint32_t min_width = 2;
    /// Demand at this entry for which one more engine is used, in tokens per second.
    double tokens_per_s_per_engine = 400;
    /// Hysteresis: a wider spread is kept until demand falls below this fraction of the demand
    /// that required it.
    double shrink_fraction = 0.7;
    /// Cost of loading an adapter, as equivalent waiting time.
    duration load_cost = std::chrono::seconds(1);
    /// Additional waiting time accepted for an engine with a more likely prefix cache hit.
    duration locality_bonus = std::chrono::milliseconds(50);
    /// Cost of choosing an upstream outside the entry's failure domain.
    duration cross_domain_cost = std::chrono::milliseconds(1);
    /// Retry delay if no upstream is available.
    duration retry_after = std::chrono::seconds(2);

    friend bool operator==(const ranking_limits&, const ranking_limits&) = default;
};

/// Requirements of a model request on an engine.
struct engine_request {
    adapter_ref adapter;
    std::string base_model;
    /// Hash of the prompt prefix; requests with the same hash share two engines.
    std::optional<std::uint64_t> prefix_hash;
    /// Demand for the adapter at this entry, in tokens per second.
    double demand_tokens_per_s = 0;
    /// The software version that began the stream; empty if any engine can run the request.
    std::string software = {};

    friend bool operator==(const engine_request&, const engine_request&) = default;
};

/// Chooses the upstream of each attempt.
///
/// All entries rank the engines of an adapter identically, by weighted rendezvous hashing. The
/// first few serve it, more as demand grows; of two candidates among these, selected by the prompt
/// prefix, the one with the lower cost in waiting time is chosen. Instances of plain services are
/// chosen by load among three random candidates, two of them from the entry's failure domain if it
/// has any. An upstream that is leaving or not linked is never chosen; an ejected one only if no
/// other is available.
class ranking {
public:
    ranking(ranking_limits limits, failure_domain_id own_domain, std::uint64_t seed);

    /// Chooses an engine that has not been tried.
    upstream_choice choose_engine(const upstream_view& view, const engine_request& request,
                                  std::span<const upstream_id> tried, time_point now);

    /// Chooses an instance of a plain service that has not been tried.
    upstream_choice choose_service(const upstream_view& view, const std::string& service,
                                   std::span<const upstream_id> tried, time_point now);

    /// Sets the load cost, which depends on the speed of the weight store.
    void set_load_cost(duration cost) { limits_.load_cost = cost; }

    /// Number of adapters with a cached ranking.
    std::size_t cached_adapters() const { return adapters_.size(); }

private:
    using index_list = std::vector<std::uint32_t>;
    struct adapter_entry {
        index_list order;
        std::uint32_t width = 0;
    };
    enum class health { healthy, any };

    void reset_if_membership_changed(const upstream_view& view);
    adapter_entry& find_or_add_entry(const upstream_view& view, const engine_request& request,
                                     std::uint64_t adapter_hash);
    std::uint32_t update_width(adapter_entry& entry, double demand) const;
    index_list select(const upstream_view& view, std::span<const std::uint32_t> order,
                      std::span<const upstream_id> tried, std::size_t count, health required,
                      time_point now, const std::string& software = {}) const;
    index_list engine_candidates(const upstream_view& view, const engine_request& request,
                                 std::uint64_t adapter_hash, std::span<const upstream_id> tried,
                                 time_point now);
    void order_by_prefix(const upstream_view& view, const engine_request& request,
                         index_list& candidates);
    duration cost(const upstream_view& view, std::uint32_t index, time_point now) const;
    std::uint32_t pick_random(const index_list& candidates);

    ranking_limits limits_;
    failure_domain_id own_domain_;
    std::mt19937_64 random_;
    std::uint64_t membership_ = 0;
    std::unordered_map<std::uint64_t, adapter_entry> adapters_;
    std::unordered_map<std::string, index_list> services_;
};

} // namespace snipespar::route
