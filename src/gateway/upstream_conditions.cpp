// The conditions of one upstream that its state alone tells; `upstream_table.cpp` keeps the states.

#include "gateway/service_rule.h"
#include "gateway/upstream_table.h"

#include <algorithm>

namespace snipespar::gateway {

namespace {

// A sidecar reports at least twice a second, so that one lost datagram has no effect.
constexpr auto unresponsive_after = std::chrono::milliseconds(1000);
// A sidecar sends a status at least twice a second; once it is stale nothing can be loaded there.
constexpr auto sidecar_status_lifetime = std::chrono::milliseconds(1600);

} // namespace

bool upstream_table::is_open(const upstream_state& state, time_point now)
{
    return is_serving(state, now) && !state.is_evacuated && now >= state.closed_until;
}

bool upstream_table::is_serving(const upstream_state& state, time_point now)
{
    return !state.entry.is_draining && !state.is_leaving &&
           (!state.removal_at || now < *state.removal_at);
}

bool upstream_table::is_cold(const upstream_state& state, const service_rule& service,
                             time_point now)
{
    return service.cold_rate_per_s > 0 &&
           (now < state.cold_until || now < state.may_be_cold_since + service.cold_time);
}

std::optional<double> upstream_table::request_rate(const upstream_state& state,
                                                   const service_rule& service, time_point now)
{
    std::optional<double> rate;
    if (state.rate) {
        rate = state.rate->per_s;
    }
    if (is_cold(state, service, now)) {
        rate = std::min(rate.value_or(service.cold_rate_per_s), service.cold_rate_per_s);
    }
    return rate;
}

std::string upstream_table::software_of(const upstream_state& state)
{
    if (!state.status || state.entry.process_start_ms == 0) {
        return state.entry.software;
    }
    const auto reported = state.status->process_start_ms;
    // Its sidecar has lost the engine, whose next process may run other software.
    const bool is_lost = reported == 0 && state.status->models.empty();
    const bool is_other_process = reported != 0 && reported != state.entry.process_start_ms;
    return is_lost || is_other_process ? std::string() : state.entry.software;
}

bool upstream_table::counts_calls(const upstream_state& state, time_point now)
{
    return state.status && state.status->counts_calls &&
           now - state.status_at <= sidecar_status_lifetime;
}

bool upstream_table::can_load(const upstream_state& state, const std::string& model, time_point now)
{
    if (!state.status || now - state.status_at > sidecar_status_lifetime) {
        return false;
    }
    const auto& models = state.status->models;
    return std::find(models.begin(), models.end(), model) != models.end();
}

bool upstream_table::is_unresponsive(const upstream_state& state, time_point now)
{
    if (!state.status) {
        return false;
    }
    return now - std::max(state.sidecar_heard_at, state.last_response_at) > unresponsive_after;
}

} // namespace snipespar::gateway
