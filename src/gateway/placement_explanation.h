#pragma once

#include "gateway/load_limits.h"
#include "gateway/placement_decision.h"
#include "gateway/standing.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// What a call finds at one upstream of its service.
struct explained_upstream {
    /// Whether what the call needs is loaded there. Plain services load nothing.
    enum class residency : std::uint8_t { none, loading, resident };

    upstream_id id;
    std::string address;
    failure_domain_id failure_domain;
    /// In another failure domain than this gateway.
    bool is_distant = false;
    standing status = standing::ready;
    /// When the reason that excludes it ends, if that is known.
    std::optional<time_point> until;
    residency adapter = residency::none;
    /// Calls that run or wait there, as far as this gateway knows.
    double load = 0;
    /// Calls of this gateway that have not ended.
    int in_flight = 0;
    /// Just started or emptied.
    bool is_cold = false;
    /// Requests per second that it takes, for each of which a permit is needed.
    std::optional<double> rate_per_s;
    /// Its sidecar is asked before a prompt is sent.
    bool is_paced = false;
    /// Prompt tokens that the engine has not read, and those that it reads in a millisecond; absent
    /// unless its sidecar states them.
    std::optional<std::uint64_t> waiting_tokens;
    std::optional<double> tokens_per_ms;
    /// Until an engine begins the call; absent while unknown.
    std::optional<double> start_ms;
    /// Until a plain upstream that states its load has answered the call.
    std::optional<double> finish_ms;
    /// What it was compared by (`placement_explanation::measure`); absent if it was not compared.
    std::optional<double> weight;
    /// The choice is drawn from those for which this holds.
    bool is_drawn = false;
    /// A call with a long shared prompt returns there.
    bool is_home = false;

    friend bool operator==(const explained_upstream&, const explained_upstream&) = default;
};

/// Where a call would go at one moment, and what was compared.
struct placement_explanation {
    /// What `explained_upstream::weight` is.
    enum class measure : std::uint8_t {
        /// The engine's score for the adapter; the highest one ranks first.
        score,
        /// The plain upstream's share of the draw.
        share,
        /// The plain upstream's cost in calls, where none states its load; the lowest one is taken.
        calls,
    };

    /// Those that were compared, the first one of the ranking first, then those that were not, by
    /// name.
    std::vector<explained_upstream> upstreams;
    measure weighed_by = measure::score;
    placement_decision decision;
    /// Whether another draw may decide otherwise.
    bool depends_on_draw = false;
    /// Of engines that were compared.
    std::optional<load_limits> limits;

    friend bool operator==(const placement_explanation&, const placement_explanation&) = default;
};

} // namespace snipespar::gateway
