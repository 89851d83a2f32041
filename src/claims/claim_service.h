#pragma once

#include "claims/claim_journal.h"
#include "claims/claim_message.h"
#include "claims/claim_request.h"
#include "claims/instant.h"
#include "claims/journal_action.h"
#include "snipespar/ids.h"
#include "snipespar/run_state.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace snipespar::claims {

/// Limits of an entry's claims.
struct claim_limits {
    /// Journals among which the keys are partitioned; the same at every entry, and never changed
    /// while keys are kept.
    std::uint32_t partitions = 64;
    /// How long the owner of a partition has to answer before this entry writes the journal itself.
    duration forward_timeout = std::chrono::milliseconds(500);
    /// Maximum time that a caller waits for a claim.
    duration claim_timeout = std::chrono::seconds(2);
    /// How long the owner has to record an outcome before this entry records it itself.
    duration outcome_timeout = std::chrono::seconds(2);
    /// Interval at which a reply without its receipt is resent, and how many times.
    duration reply_interval = std::chrono::seconds(1);
    std::uint32_t max_reply_resends = 120;
    /// Maximum number of outcomes that wait to be recorded, and of abandoned claims that are kept.
    std::size_t max_outcomes = 16384;
    journal_limits journal;

    friend bool operator==(const claim_limits&, const claim_limits&) = default;
};

/// Send a message to another entry.
struct send_claim_message {
    host_id to;
    claim_message message;

    friend bool operator==(const send_claim_message&, const send_claim_message&) = default;
};

/// The answer to a claim of this entry; the only one for its nonce.
struct claim_decided {
    claim_nonce nonce;
    claim_decision decision;

    friend bool operator==(const claim_decided&, const claim_decided&) = default;
};

using service_action = std::variant<read_object, write_object, send_claim_message, claim_decided>;
using service_actions = std::vector<service_action>;

/// A claim that has been started.
struct begun_claim {
    claim_nonce nonce;
    service_actions actions;
};

/// Digest of a caller's idempotency key within its team and route, so that the keys of different
/// teams never collide.
digest scoped_key(const team_id& team, const route_id& route, std::string_view key);

/// Digest of a request, by which the reuse of a key for a different request is detected.
digest request_fingerprint(std::string_view method, std::string_view target, std::string_view body);

/// Manages the claims of one entry. A claim is forwarded to the entry that owns its partition,
/// which commits it together with others; if that entry does not answer, this one writes the
/// journal itself. Ownership only reduces the number of writes: the journal's conditional updates
/// ensure that a key has one claimer.
class claim_service {
public:
    claim_service(incarnation self, claim_limits limits);

    /// Sets the entries that this one currently has a link to, excluding itself.
    service_actions set_peers(const std::set<host_id>& peers, const instant& now);

    /// Claims a key for one run of a request; ends with exactly one claim_decided. When granted,
    /// the caller of this function may run the request once and must then call finish().
    begun_claim begin(const digest& key, const digest& fingerprint, const instant& now);

    /// Reports how a granted claim ended. A call that ran without a complete answer is `unknown`.
    service_actions finish(const claim_nonce& nonce, run_state ran,
                           std::optional<recorded_answer> answer, const instant& now);

    service_actions on_message(const host_id& from, const claim_message& message,
                               const instant& now);
    service_actions on_read(std::uint32_t partition, operation_id operation,
                            const read_result& result, const instant& now);
    service_actions on_write(std::uint32_t partition, operation_id operation,
                             const write_result& result, const instant& now);
    service_actions on_tick(const instant& now);
    time_point next_tick() const;

    /// Outcomes that are not yet known to be recorded.
    std::size_t pending_outcomes() const { return outcomes_.size(); }
    /// Outcomes dropped because too many were waiting; their keys stay claimed.
    std::uint64_t dropped_outcomes() const { return dropped_outcomes_; }
    /// Keys in memory over all journals.
    std::size_t keys() const;

private:
    struct own_claim {
        claim_request request;
        std::optional<host_id> owner;
        time_point forward_deadline;
        /// Whether a journal other than this entry's may still write it.
        bool may_be_written = false;
        bool granted = false;
    };
    struct own_outcome {
        claim_outcome outcome;
        /// When this entry records it itself, or resubmits it to its own journal.
        time_point forward_deadline;
    };

    struct sent_reply {
        claim_decision decision;
        time_point resend_at;
        std::uint32_t resends = 0;
    };

    std::uint32_t partition_of(const digest& key) const;
    std::optional<host_id> owner_of(std::uint32_t partition) const;
    claim_journal& journal(std::uint32_t partition);
    void claim_locally(own_claim& claim, const instant& now, service_actions& actions);
    void apply_actions(journal_actions from, const instant& now, service_actions& actions);
    void answer(const claim_nonce& nonce, const claim_decision& decision, bool from_owner,
                const instant& now, service_actions& actions);
    void decide(const claim_nonce& nonce, const claim_decision& decision, const instant& now,
                service_actions& actions);
    void release_if_written(const claim_nonce& nonce, const claim_decision& decision,
                            const instant& now, service_actions& actions);
    void release(const claim_request& request, const instant& now, service_actions& actions);
    void record(const claim_outcome& outcome, const instant& now, service_actions& actions);
    void record_locally(own_outcome& outcome, const instant& now, service_actions& actions);
    void reply(const claim_nonce& nonce, claim_decision decision, const instant& now,
               service_actions& actions);
    void handle_reply(const host_id& from, const claim_reply& item, const instant& now,
                      service_actions& actions);
    void resend_replies(const instant& now, service_actions& actions);
    void handle_owner_timeouts(const instant& now, service_actions& actions);
    void refuse_overdue(const instant& now, service_actions& actions);
    void record_abandoned(const claim_request& request);
    void drop_idle_journals();
    bool is_own(const claim_nonce& nonce) const { return nonce.claimer == self_; }

    incarnation self_;
    claim_limits limits_;
    std::set<host_id> peers_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint32_t, claim_journal> journals_;
    std::map<claim_nonce, own_claim> claims_;
    std::map<claim_nonce, own_outcome> outcomes_;
    /// Abandoned claims, which have to be released if they are granted late.
    std::map<claim_nonce, claim_request> abandoned_;
    /// Replies to other entries that need a receipt and have not received it yet.
    std::map<claim_nonce, sent_reply> sent_replies_;
    std::uint64_t dropped_outcomes_ = 0;
};

} // namespace snipespar::claims
