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

/// Limits of the residency of one upstream.
struct residency_options {
    /// Adapters that the upstream holds at once.
    std::uint32_t slots = 1;
    /// Whether the upstream refuses orders with an old fencing number.
    bool checks_fencing = false;
    /// Orders of this agent get higher fencing numbers than this.
    fencing_number first_fence = 0;
    /// Time after which an order of an agent that died has no effect any more.
    duration longest_order_time = std::chrono::seconds(5);
    /// Pause after a failed load; it doubles with each further one.
    duration first_backoff = std::chrono::milliseconds(250);
    duration max_backoff = std::chrono::seconds(30);
    /// Failed loads in a row after which work no longer waits for the next one.
    std::uint32_t max_load_failures = 2;
    /// Waiting time after which an adapter in use is closed to new work, so that its slot falls
    /// to work that waits for another.
    duration slot_wait_limit = std::chrono::seconds(1);
    /// Time in which the demand remembered for an adapter halves.
    duration demand_half_life = std::chrono::seconds(60);
    /// Assumed time of a load until one was seen.
    duration initial_load_time = std::chrono::milliseconds(250);

    friend bool operator==(const residency_options&, const residency_options&) = default;
};

/// What the agent knows of one adapter at its upstream.
enum class adapter_phase {
    /// Not held, and no order is under way.
    absent,
    /// The weight store's limit was asked.
    asking,
    /// A permit was granted; a slot is being freed.
    awaiting_slot,
    loading,
    resident,
    evicting,
    /// An order's answer was lost; the upstream is asked what it holds.
    uncertain,
};

/// An adapter that queued work needs, and since when.
struct adapter_want {
    adapter_ref adapter;
    time_point since;

    friend bool operator==(const adapter_want&, const adapter_want&) = default;
};

/// The adapters of one upstream: what it holds, what is loaded next and what is evicted for it.
///
/// An adapter is evicted only while no request holds a pin on it. The victim is the one with the
/// lowest recent demand, as each costs the same to load again. Nothing is ordered before the
/// upstream was read back, and that is done only once no order of a former agent can take effect
/// any more: after `longest_order_time`, or at once after an order with a higher fencing number
/// where the upstream checks these.
class residency {
public:
    explicit residency(residency_options options);

    /// Begins the recovery.
    scheduler_actions start(time_point now);

    /// Whether a request for the adapter may start now.
    bool is_ready(const adapter_ref& adapter) const;

    /// A request on the adapter starts; the adapter must be ready.
    void pin(const adapter_ref& adapter, std::uint64_t tokens, time_point now);

    /// A request that pinned the adapter has ended.
    void unpin(const adapter_ref& adapter);

    /// A request on the adapter failed, so the upstream may have lost it: nothing more starts on
    /// it until the upstream was read.
    scheduler_actions suspect(const adapter_ref& adapter, time_point now);

    /// Orders what queued work needs; `wanted` is ordered by urgency.
    scheduler_actions plan(std::span<const adapter_want> wanted, time_point now);

    /// The limit answered ask_load_permit; a refusal says when to ask again.
    scheduler_actions on_permit(const adapter_ref& adapter, bool granted, duration retry_after,
                                time_point now);

    /// An order has ended; `fence` is the number that it carried. An end without a clear answer
    /// counts as a failure.
    scheduler_actions on_load_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                   time_point now);
    scheduler_actions on_evict_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                    time_point now);

    /// The upstream has taken the fencing number of raise_fence.
    scheduler_actions on_fence_raised(time_point now);

    /// The upstream holds these adapters, as it answered a read that was sent at `asked_at`.
    scheduler_actions on_upstream_read(const std::set<adapter_ref>& held, time_point asked_at,
                                       time_point now);

    /// The upstream restarted, and holds nothing.
    scheduler_actions on_upstream_restarted();

    /// What the passing of time calls for.
    scheduler_actions on_tick(time_point now);

    /// Earliest time at which a request for the adapter could start, as far as is known.
    time_point earliest_ready(const adapter_ref& adapter, time_point now) const;

    /// Whether the adapter failed to load so often that work should not wait for it now.
    bool is_given_up(const adapter_ref& adapter, time_point now) const;

    /// Whether orders and runs are allowed.
    bool recovered() const { return recovered_; }

    adapter_phase phase_of(const adapter_ref& adapter) const;
    std::uint32_t pins_of(const adapter_ref& adapter) const;
    std::vector<adapter_ref> resident() const;

private:
    struct entry {
        adapter_phase phase = adapter_phase::absent;
        std::uint32_t pins = 0;
        /// No new request starts, so that the pins end.
        bool closed = false;
        bool wanted = false;
        std::uint32_t failures = 0;
        time_point not_before{};
        time_point changed_at{};
        /// Number of the order under way.
        fencing_number order = 0;
        double demand = 0;
        time_point demand_at{};
    };
    using entry_map = std::map<adapter_ref, entry>;

    static bool holds_slot(const entry& adapter);
    std::size_t slots_held() const;
    double demand_of(const entry& adapter, time_point now) const;
    entry_map::iterator find_victim(bool allow_wanted, time_point now);
    void close_one(time_point now);
    void mark_wanted(std::span<const adapter_want> wanted);
    scheduler_actions fill_slot(entry_map::iterator adapter, time_point now);
    scheduler_actions serve_awaiting(time_point now);
    scheduler_actions load(entry_map::iterator adapter, time_point now);
    scheduler_actions ask_for(const adapter_want& want, time_point now);
    scheduler_actions read(time_point now);
    bool lacks_read(time_point now) const;
    void drop_old_questions(time_point now);
    void reopen_unless_overdue(std::span<const adapter_want> wanted, time_point now);
    void back_off(entry& adapter, time_point now) const;
    void forget_idle(time_point now);

    residency_options options_;
    entry_map adapters_;
    fencing_number fence_;
    /// A read sent at this time or later shows every effect of a former agent's orders.
    std::optional<time_point> readable_from_;
    time_point asked_at_{};
    bool recovered_ = false;
    duration load_time_;
};

} // namespace snipespar::agent
