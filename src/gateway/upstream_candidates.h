#pragma once

#include "gateway/placement_query.h"
#include "gateway/service_rule.h"
#include "gateway/standing.h"
#include "gateway/upstream_table.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace snipespar::gateway {

/// The upstreams to which a call may go now, and what is known of those that take none.
struct upstream_candidates {
    std::vector<const upstream_state*> upstreams;
    /// When the first of the closed upstreams opens.
    std::optional<time_point> opens_at;
    /// Requests per second that the closed upstreams take together; 0 if one of them named none.
    double rate_per_s = 0;
    /// Whether an upstream of the required software version serves.
    bool has_version = false;
};

/// Keeps only the upstreams that satisfy the condition, if there are any. `on_excluded` is called
/// with each of the others and `reason`.
template <class Condition, class Observer>
void prefer(std::vector<const upstream_state*>& upstreams, standing reason, Condition condition,
            Observer& on_excluded)
{
    if (std::any_of(upstreams.begin(), upstreams.end(), condition)) {
        std::erase_if(upstreams, [&](const auto* state) {
            const bool is_kept = condition(state);
            if (!is_kept) {
                on_excluded(*state, reason);
            }
            return !is_kept;
        });
    }
}

/// Finds the upstreams of the service to which the call may go. `on_excluded` is called with each
/// of the others and the first reason that excludes it.
template <class Observer>
upstream_candidates find_candidates(const placement_query& query, const service_rule& service,
                                    const upstream_table& table, time_point now,
                                    Observer on_excluded)
{
    // Failure rate above which an engine is skipped while others are healthy.
    constexpr double unhealthy_failure_rate = 0.35;
    upstream_candidates found;
    bool has_unlimited = false;
    found.has_version = query.software.empty();
    for (const auto& [id, state] : table.all()) {
        if (state.entry.service != query.service) {
            continue;
        }
        if (!upstream_table::is_serving(state, now)) {
            on_excluded(state, standing::leaving);
            continue;
        }
        if (!query.software.empty() && upstream_table::software_of(state) != query.software) {
            on_excluded(state, standing::other_software);
            continue;
        }
        found.has_version = true;
        if (!query.software.empty() && service.engine &&
            !upstream_table::is_process_confirmed(state)) {
            on_excluded(state, standing::unconfirmed);
            continue;
        }
        if (state.is_evacuated) {
            on_excluded(state, standing::evacuated);
            continue;
        }
        const auto rate = upstream_table::request_rate(state, service, now);
        const auto closed_until = std::max(state.closed_until, state.no_permits_until);
        if (now < closed_until) {
            found.opens_at = std::min(found.opens_at.value_or(closed_until), closed_until);
            found.rate_per_s += rate.value_or(0);
            has_unlimited = has_unlimited || !rate;
            on_excluded(state, now < state.closed_until ? standing::closed : standing::cold);
        }
        else if (rate && !query.may_ask_for_permit) {
            found.opens_at = found.opens_at.value_or(now);
            found.rate_per_s += *rate;
            on_excluded(state, standing::needs_permit);
        }
        else if (query.excluded.contains(id)) {
            on_excluded(state, standing::tried);
        }
        else {
            found.upstreams.push_back(&state);
        }
    }
    if (has_unlimited) {
        found.rate_per_s = 0;
    }
    auto& upstreams = found.upstreams;
    prefer(
        upstreams, standing::ejected,
        [&](const auto* state) { return now >= state->ejected_until; }, on_excluded);
    prefer(
        upstreams, standing::removed, [&](const auto* state) { return !state->removal_at; },
        on_excluded);
    prefer(
        upstreams, standing::unresponsive,
        [&](const auto* state) { return !upstream_table::is_unresponsive(*state, now); },
        on_excluded);
    if (service.engine) {
        prefer(
            upstreams, standing::failing,
            [](const auto* state) { return state->failure_rate < unhealthy_failure_rate; },
            on_excluded);
    }
    return found;
}

} // namespace snipespar::gateway
