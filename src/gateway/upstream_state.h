#pragma once

#include "gateway/engine_status.h"
#include "gateway/upstream_entry.h"
#include "snipespar/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snipespar::gateway {

/// Calls of this gateway that use one adapter at one upstream.
struct adapter_calls {
    int waiting = 0;
    int running = 0;
    /// Until then the engine should load the adapter, though no call waits for it.
    time_point wanted_until;

    /// Whether the engine should hold the adapter.
    bool is_wanted(time_point now) const
    {
        return waiting > 0 || running > 0 || now < wanted_until;
    }

    friend bool operator==(const adapter_calls&, const adapter_calls&) = default;
};

/// What this gateway knows of one upstream.
struct upstream_state {
    upstream_entry entry;
    /// Its entry is gone; after this moment it takes no new work.
    std::optional<time_point> gone_at;
    /// Calls sent there and not finished.
    int in_flight = 0;
    /// Prompt tokens of those calls that have not answered yet.
    std::uint64_t prompt_tokens = 0;
    /// When it last answered anything.
    time_point answered_at;
    /// Smoothed share of calls that failed there, 0 to 1.
    double failure_rate = 0;
    /// Failures since the last success.
    int failures_in_a_row = 0;
    /// It gets no work before this moment.
    time_point ejected_until;
    duration ejection{};
    /// What its sidecar told last, when, and what this gateway had in flight then.
    std::optional<engine_status> status;
    time_point status_at;
    int in_flight_at_status = 0;
    /// By `model/adapter`.
    std::map<std::string, adapter_calls, std::less<>> adapters;

    friend bool operator==(const upstream_state&, const upstream_state&) = default;
};

} // namespace snipespar::gateway
