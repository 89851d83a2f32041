#pragma once

#include "limits/limit_actions.h"
#include "limits/limit_settings.h"
#include "limits/limit_share.h"
#include "limits/messages.h"
#include "limits/peer_channel.h"
#include "limits/slot_allocator.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace snipespar::limits {

/// Event counts of a limit node since its start.
struct limit_counters {
    std::uint64_t granted = 0;
    std::uint64_t refused_over_limit = 0;
    std::uint64_t refused_larger_than_burst = 0;
    std::uint64_t refused_unknown_limit = 0;
    std::uint64_t refused_suspended = 0;
    std::uint64_t credit_requests = 0;
    std::uint64_t lends = 0;
    std::uint64_t give_backs = 0;
    std::uint64_t recalls = 0;
    std::uint64_t resent_batches = 0;

    friend bool operator==(const limit_counters&, const limit_counters&) = default;
};

/// State of one limit at a node.
struct limit_level {
    limit_id limit;
    micro_tokens capacity = 0;
    micro_tokens level = 0;
    micro_tokens held = 0;
    micro_tokens lent = 0;
    micro_tokens borrowed = 0;
    std::size_t slots_owned = 0;

    friend bool operator==(const limit_level&, const limit_level&) = default;
};

/// Enforces the fleet-wide limits in one process. Admits requests against the process's own share
/// of each limit, borrows from the owners of a limit's slots when the share is insufficient, lends
/// from the slots that it owns, and takes part in the choice of owners. Over any window, the
/// processes of a fleet together deliver at most rate * window + burst of each limit, even if
/// messages are lost, duplicated or delayed, or processes are paused.
///
/// Each event carries the time of a monotonic clock that advances while the host is suspended.
/// `tick` must be called every few milliseconds; a gap above `longest_gap` is treated as a pause of
/// the process. Not thread-safe.
class limit_node {
public:
    /// `self.start` must be higher than that of every earlier incarnation on the host.
    limit_node(incarnation self, limit_settings settings, time_point now);

    /// Requests a reservation of `amount`, which is answered by `granted` or `refused`, immediately
    /// or in a later event. The request number must not be in use.
    limit_actions admit(time_point now, request_number request, const limit_id& limit,
                        micro_tokens amount);

    /// Records that part of a granted request's tokens was delivered. Returns the amount that the
    /// reservation covered; more must not be delivered.
    micro_tokens delivered(time_point now, request_number request, micro_tokens amount);

    /// Ends a request, also a waiting one whose caller disconnected, and releases its unused
    /// tokens.
    limit_actions finished(time_point now, request_number request);

    /// Handles a message from a peer.
    limit_actions received(time_point now, const peer_message& message);

    /// Handles the result of a table read; empty if the platform did not respond.
    limit_actions table_read(time_point now, const limits::read_table& read,
                             const std::optional<versioned_table>& result);

    /// Handles the result of a table write.
    limit_actions table_written(time_point now, std::uint32_t group, write_outcome outcome);

    /// Handles a successful read of the platform's list, changed or not. Must not be called while
    /// the list cannot be read, except once at the start with peers known from another source.
    limit_actions members_listed(time_point now, std::vector<member> members);

    /// Applies a higher version of the configuration.
    limit_actions limits_changed(time_point now, const std::vector<limit_spec>& specs);

    /// Handles expired timeouts, resends and periodic work.
    limit_actions tick(time_point now);

    /// Whether deliveries are suspended at `now`, including after a pause that no event has
    /// detected yet.
    bool suspended(time_point now) const;

    /// State of every limit.
    std::vector<limit_level> report() const;

    const limit_counters& counters() const { return counters_; }
    const incarnation& self() const { return self_; }
    const slot_allocator& allocator() const { return allocator_; }

private:
    struct waiting_request {
        request_number request = 0;
        micro_tokens amount = 0;
        time_point deadline;
        /// Whether a credit round has covered it.
        bool in_round = false;
    };

    struct credit_round {
        std::uint64_t number = 0;
        /// Owners not queried yet, the next one last.
        std::vector<incarnation> owners;
        std::optional<incarnation> queried_owner;
        time_point answer_due;
        /// Until when owners that were short of tokens may still send credit.
        time_point more_until;
    };

    struct unfilled_request {
        incarnation from;
        micro_tokens needed = 0;
        time_point until;
    };

    struct limit_state {
        limit_state(const limit_spec& spec, time_point now) : share(spec, now) {}

        limit_share share;
        bool configured = false;
        std::deque<waiting_request> waiting;
        std::optional<credit_round> round;
        time_point next_round;
        std::deque<unfilled_request> unfilled;
        time_point next_recall;
        time_point next_return;
        /// Tokens admitted since the last return, and their moving average per return interval.
        micro_tokens admitted = 0;
        micro_tokens demand = 0;
    };

    struct reservation {
        limit_id limit;
        micro_tokens held = 0;
    };

    struct suspension {
        std::uint64_t pause = 0;
        time_point since;
        std::set<incarnation> outstanding_peers;
        std::vector<allocation_table> tables;
    };

    bool begin_event(time_point now, limit_actions& actions);
    void suspend(time_point now, limit_actions& actions);
    void check_suspension(time_point now, limit_actions& actions);
    bool borrows_from_reassigned_slot() const;
    void stop(limit_actions& actions);

    std::uint32_t group_of(const limit_id& limit) const;
    limit_state& state_of(time_point now, const limit_id& limit);
    limit_state& state_of(time_point now, const limit_id& limit, std::size_t skipped_slot);
    void fill_initial_share(time_point now, const limit_id& limit, limit_state& state);
    std::vector<incarnation> owners(std::uint32_t group) const;
    bool yields_to(const limit_id& limit, const limit_state& state, const incarnation& other) const;

    void process_waiting(time_point now, const limit_id& limit, limit_state& state,
                         limit_actions& actions);
    void grant_waiting(time_point now, limit_state& state, limit_actions& actions);
    void refuse(request_number request, refusal_reason reason, duration retry_after,
                limit_actions& actions);
    void refuse_front(time_point now, limit_state& state, limit_actions& actions);
    void finish_round(time_point now, limit_state& state, limit_actions& actions);
    static bool can_refill_in_time(time_point now, const limit_state& state);
    static duration refill_time(const limit_state& state, micro_tokens amount);
    void start_round(time_point now, const limit_id& limit, limit_state& state,
                     limit_actions& actions);
    void query_next_owner(time_point now, const limit_id& limit, limit_state& state,
                          limit_actions& actions);
    static micro_tokens total_shortfall(const limit_state& state);
    micro_tokens lend(time_point now, const limit_id& limit, limit_state& state,
                      const incarnation& borrower, micro_tokens amount, limit_actions& actions);
    void request_owners(time_point now, std::uint32_t group, limit_actions& actions);
    void lend_unfilled(time_point now, const limit_id& limit, limit_state& state,
                       limit_actions& actions);
    bool recall(time_point now, const limit_id& limit, limit_state& state,
                const incarnation& beneficiary, limit_actions& actions);
    void return_idle(time_point now, const limit_id& limit, limit_state& state,
                     limit_actions& actions);
    void give_back(time_point now, const limit_id& limit, limit_state& state, std::size_t slot,
                   micro_tokens level, limit_actions& actions);

    void handle(time_point now, const incarnation& from, const batch_message& message,
                limit_actions& actions);
    void handle(time_point now, const incarnation& from, const ack_message& message,
                limit_actions& actions);
    void handle(time_point now, const incarnation& from, const credit_request& message,
                limit_actions& actions);
    void handle(time_point now, const incarnation& from, const credit_answer& message,
                limit_actions& actions);
    void handle(time_point now, const incarnation& from, const recall_message& message,
                limit_actions& actions);
    void handle(time_point now, const incarnation& from, const owners_request& message,
                limit_actions& actions);
    void handle(time_point now, const incarnation& from, const owners_message& message,
                limit_actions& actions);
    void handle(time_point now, const incarnation& from, const resume_request& message,
                limit_actions& actions);
    void handle(time_point now, const incarnation& from, const resume_answer& message,
                limit_actions& actions);
    void handle(time_point now, const incarnation& from, const closed_message& message,
                limit_actions& actions);

    void apply(time_point now, const incarnation& from, const lend_item& item,
               limit_actions& actions);
    void apply(time_point now, const incarnation& from, const give_back_item& item,
               limit_actions& actions);
    void apply(time_point now, const incarnation& from, const claim_item& item,
               limit_actions& actions);
    void apply(time_point now, const incarnation& from, const report_item& item,
               limit_actions& actions);

    void apply_effects(time_point now, allocator_effects effects, limit_actions& actions);
    void deactivate(time_point now, const slot_handover& change);
    void activate(time_point now, const slot_activation& change, limit_actions& actions);
    bool is_closed(const incarnation& process) const;
    void close(time_point now, const incarnation& process);
    void close_removed(time_point now);
    peer_channel& channel(const incarnation& to);
    bool reachable(const incarnation& to) const;
    void push(time_point now, const incarnation& to, std::vector<channel_item> items,
              limit_actions& actions);
    void send(const incarnation& to, message_body body, limit_actions& actions) const;

    incarnation self_;
    limit_settings settings_;
    slot_allocator allocator_;
    std::map<limit_id, limit_state> limits_;
    std::set<limit_id> active_limits_;
    std::map<request_number, reservation> reservations_;
    std::map<incarnation, peer_channel> peers_;
    /// Highest incarnation of each host that is known to have terminated.
    std::map<host_id, std::uint64_t> closed_;
    std::optional<suspension> suspension_;
    std::uint64_t pauses_ = 0;
    std::uint64_t rounds_ = 0;
    time_point last_event_;
    time_point next_owners_request_;
    bool stopped_ = false;
    limit_counters counters_;
};

} // namespace snipespar::limits
