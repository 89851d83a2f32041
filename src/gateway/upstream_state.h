#pragma once

#include "gateway/engine_status.h"
#include "gateway/stated_load.h"
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
    /// Calls sent since the sidecar was last told; counted only if it asks for that.
    int begun = 0;
    /// Until then at least one of the waiting calls can begin in time.
    time_point timely_until;
    /// Until then a replica is requested, even if no call waits for it.
    time_point requested_until;

    /// Whether the adapter should be resident on the engine.
    bool is_requested(time_point now) const
    {
        return waiting > 0 || running > 0 || now < requested_until;
    }

    /// Whether the sidecar should be told of these calls.
    bool has_news(time_point now) const { return begun > 0 || is_requested(now); }

    friend bool operator==(const adapter_calls&, const adapter_calls&) = default;
};

/// Requests per second that an upstream takes from all gateways together.
struct named_rate {
    double per_s = 0;
    /// When a response last named it.
    time_point named_at;

    friend bool operator==(const named_rate&, const named_rate&) = default;
};

/// State of one upstream as known to this gateway.
struct upstream_state {
    upstream_entry entry;
    /// Its address as sidecars state it.
    std::string address;
    /// Its hash, by which engines rank for an adapter: the address survives a restart.
    std::uint64_t address_hash = 0;
    /// Set once its entry was removed: from this moment it gets no new work.
    std::optional<time_point> removal_at;
    /// It has announced, in its entry or in a response, that it is about to stop. Holds for the
    /// rest of its incarnation, whatever its entry states later.
    bool is_leaving = false;
    /// When a response announced it; other gateways are told for a while.
    std::optional<time_point> leaving_since;
    /// It gets no work until then.
    time_point closed_until;
    /// Set while its responses name a rate. Calls need a permit then.
    std::optional<named_rate> rate;
    /// It has stated, in its entry, that it is cold until then.
    time_point cold_until;
    /// Since then it may be cold without having stated so: its process, or what became of it, was
    /// not known before.
    time_point may_be_cold_since;
    /// Start of the process that this gateway last heard of, in its entry or from its sidecar.
    std::uint64_t known_start_ms = 0;
    /// Its sidecar grants no permits until then, as the engine is cold.
    time_point no_permits_until;
    /// The operator has evacuated its failure domain: it gets no new work.
    bool is_evacuated = false;
    /// Calls sent there that have not ended.
    int in_flight = 0;
    /// Load that it stated in its last response which named one, when that response began, and this
    /// gateway's calls in flight at that time.
    std::optional<stated_load> load;
    time_point load_at;
    int in_flight_at_load = 0;
    /// Prompt tokens of the calls whose response has not begun.
    std::uint64_t prompt_tokens = 0;
    /// When the last part of any response arrived.
    time_point last_response_at;
    /// When a pause of its streams was last reported to its sidecar.
    time_point pause_reported_at;
    /// Smoothed share of failed calls, 0 to 1.
    double failure_rate = 0;
    /// Failures since the last success.
    int consecutive_failures = 0;
    /// It gets no work until then unless it is the only choice.
    time_point ejected_until;
    duration ejection{};
    /// Last report of its sidecar, when it arrived, and this gateway's calls in flight and prompt
    /// tokens at that time.
    std::optional<engine_status> status;
    time_point status_at;
    /// When its sidecar was last heard, also with a message that did not renew the status.
    time_point sidecar_heard_at;
    int in_flight_at_status = 0;
    std::uint64_t prompt_tokens_at_status = 0;
    /// By `model/adapter`.
    std::map<std::string, adapter_calls, std::less<>> adapters;

    friend bool operator==(const upstream_state&, const upstream_state&) = default;
};

} // namespace snipespar::gateway
