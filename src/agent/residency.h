#pragma once

#include "agent/scheduler_action.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace snipespar::agent {

/// Limits and timings of adapter residency on one upstream.
struct residency_options {
    /// Adapters that can be resident concurrently.
    std::uint32_t slots = 1;
    /// Whether the upstream rejects orders with an outdated fencing number.
    bool checks_fencing = false;
    /// Orders of this agent carry fencing numbers above this one.
    fencing_number first_fence = 0;
    /// Time after which an order of a crashed agent can no longer take effect.
    duration longest_order_time = std::chrono::seconds(5);
    /// Backoff after a failed load; doubles with each consecutive failure.
    duration first_backoff = std::chrono::milliseconds(250);
    duration max_backoff = std::chrono::seconds(30);
    /// Consecutive failed loads after which requests no longer wait for the next attempt.
    std::uint32_t max_load_failures = 2;
    /// Waiting time after which another adapter in use is closed to new requests, so that its
    /// slot goes to the requests that wait.
    duration slot_wait_limit = std::chrono::seconds(1);
    /// Half-life of the recent demand recorded for an adapter.
    duration demand_half_life = std::chrono::seconds(60);
    /// Assumed load time until one has been measured.
    duration initial_load_time = std::chrono::milliseconds(250);

    friend bool operator==(const residency_options&, const residency_options&) = default;
};

/// State of one adapter at the upstream, as far as the agent knows.
enum class adapter_phase {
    /// Not resident, and no order is in flight.
    absent,
    /// A load permit was requested from the weight store's limit.
    awaiting_permit,
    /// A permit was granted; the adapter waits for a free slot.
    awaiting_slot,
    loading,
    resident,
    evicting,
    /// Whether it is resident is unknown, as an order's response was lost or a request failed;
    /// the upstream is read.
    uncertain,
};

/// An adapter with queued requests, and the arrival time of the oldest one.
struct queued_adapter {
    adapter_ref adapter;
    time_point queued_since;

    friend bool operator==(const queued_adapter&, const queued_adapter&) = default;
};

/// Tracks which adapters are resident on one upstream, and decides what to load and evict.
///
/// An adapter is evicted only while no request pins it. The victim is the one with the lowest
/// recent demand, as all cost the same to reload. No order is given before the upstream has been
/// read, which happens only once no order of an earlier agent can take effect: after
/// `longest_order_time`, or immediately after an order with a higher fencing number where the
/// upstream checks these.
class residency {
public:
    explicit residency(residency_options options);

    /// Starts recovery.
    scheduler_actions start(time_point now);

    /// Whether a request on the adapter may start now.
    bool is_ready(const adapter_ref& adapter) const;

    /// Pins the adapter for a request that starts; the adapter must be ready.
    void pin(const adapter_ref& adapter, std::uint64_t tokens, time_point now);

    /// Releases the pin of a request that has ended.
    void unpin(const adapter_ref& adapter);

    /// A request on the adapter failed, so the upstream may have lost the adapter: no request
    /// starts on it until the upstream has been read.
    scheduler_actions mark_uncertain(const adapter_ref& adapter, time_point now);

    /// Plans loads and evictions for adapters with queued requests; `queued` is ordered by
    /// urgency.
    scheduler_actions plan(std::span<const queued_adapter> queued, time_point now);

    /// Result of ask_load_permit; `retry_after` tells when to ask again after a refusal.
    scheduler_actions on_permit(const adapter_ref& adapter, bool granted, duration retry_after,
                                time_point now);

    /// An order has ended; `fence` is its fencing number. An unresolved order counts as failed.
    scheduler_actions on_load_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                   time_point now);
    scheduler_actions on_evict_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                    time_point now);

    /// The upstream has accepted the fencing number of raise_fence.
    scheduler_actions on_fence_raised(time_point now);

    /// Response to a read sent at `read_sent_at`: these adapters are resident.
    scheduler_actions on_upstream_read(const std::set<adapter_ref>& resident_adapters,
                                       time_point read_sent_at, time_point now);

    /// The upstream restarted, and no adapter is resident.
    scheduler_actions on_upstream_restarted();

    /// Handles timeouts.
    scheduler_actions on_tick(time_point now);

    /// Estimate of the earliest time at which a request on the adapter could start.
    time_point earliest_ready(const adapter_ref& adapter, time_point now) const;

    /// Whether the adapter failed to load `max_load_failures` times and its next attempt is not
    /// due, so that requests should not wait for it.
    bool is_load_failing(const adapter_ref& adapter, time_point now) const;

    /// Whether recovery is complete, so that orders and requests on adapters may start.
    bool recovered() const { return recovered_; }

    adapter_phase phase_of(const adapter_ref& adapter) const;
    std::uint32_t pins_of(const adapter_ref& adapter) const;
    std::vector<adapter_ref> resident() const;

private:
    struct entry {
        adapter_phase phase = adapter_phase::absent;
        std::uint32_t pins = 0;
        /// No new request starts, so that the pins are released.
        bool closed = false;
        bool queued = false;
        std::uint32_t failures = 0;
        time_point next_attempt_at{};
        time_point changed_at{};
        /// Fencing number of the order in flight.
        fencing_number order_fence = 0;
        double demand = 0;
        time_point demand_at{};
    };
    using entry_map = std::map<adapter_ref, entry>;

    static bool occupies_slot(const entry& adapter);
    std::size_t used_slots() const;
    double demand_of(const entry& adapter, time_point now) const;
    entry_map::iterator find_victim(bool allow_queued, time_point now);
    void close_least_demanded(time_point now);
    void mark_queued(std::span<const queued_adapter> queued);
    scheduler_actions assign_slot(entry_map::iterator adapter, time_point now);
    scheduler_actions assign_slots(time_point now);
    scheduler_actions load(entry_map::iterator adapter, time_point now);
    scheduler_actions request_permit(const queued_adapter& candidate, time_point now);
    scheduler_actions read(time_point now);
    bool needs_read(time_point now) const;
    void expire_permit_requests(time_point now);
    void reopen_unless_overdue(std::span<const queued_adapter> queued, time_point now);
    void back_off(entry& adapter, time_point now) const;
    void erase_idle(time_point now);

    residency_options options_;
    entry_map adapters_;
    fencing_number fence_;
    /// A read sent at this time or later reflects every order of earlier agents.
    std::optional<time_point> earliest_valid_read_;
    time_point last_query_at_{};
    bool recovered_ = false;
    duration expected_load_time_;
};

} // namespace snipespar::agent
