#pragma once

#include "route/lifecycle_action.h"
#include "snipespar/ids.h"
#include "snipespar/run_state.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipespar::route {

class retry_budget;

/// Limits that apply to each request at one entry.
struct lifecycle_limits {
    /// Maximum time from handing an attempt to a link until the agent accepts it.
    duration accept_timeout = std::chrono::seconds(2);
    /// Maximum time without progress while an accepted attempt waits in the agent's queue.
    duration queue_timeout = std::chrono::seconds(30);
    /// Maximum time without progress while the upstream runs an attempt.
    duration progress_timeout = std::chrono::seconds(10);
    /// Maximum number of attempts per request, including refused ones.
    std::uint32_t max_attempts = 5;
    /// Maximum number of attempts lost after a possible hand-off. A request that crashes its
    /// upstream takes down no more upstreams than this.
    std::uint32_t max_lost_attempts = 2;
    /// Retry delay if neither an agent nor the ranking gives one.
    duration default_retry_after = std::chrono::seconds(1);

    friend bool operator==(const lifecycle_limits&, const lifecycle_limits&) = default;
};

/// Content of a response.
enum class answer_kind {
    /// Tokens; another upstream can resume from any index.
    tokens,
    /// A status and a body of bytes; cannot be resumed.
    body,
};

/// Properties of a request on which its lifecycle depends.
struct request_facts {
    std::string id;
    /// Whether it may safely run more than once.
    bool idempotent = false;
    answer_kind answer = answer_kind::tokens;
    time_point deadline;

    friend bool operator==(const request_facts&, const request_facts&) = default;
};

/// Progress of the current attempt.
enum class attempt_phase {
    /// No attempt exists.
    none,
    /// An upstream is being chosen.
    choosing,
    /// No byte has been sent on the link.
    unsent,
    /// The first byte may have been sent on the link.
    sent,
    /// The agent has accepted it; the upstream has received no byte of it.
    queued,
    /// The upstream may have received it.
    started,
};

/// Result of choose_upstream, given by the ranking.
struct upstream_choice {
    /// Empty if no upstream may take the request.
    std::optional<upstream_id> upstream;
    /// Time until one may be available, if known.
    std::optional<duration> retry_after;

    friend bool operator==(const upstream_choice&, const upstream_choice&) = default;
};

/// A refusal by an agent that sent no byte of the request to its upstream.
struct attempt_refusal {
    std::optional<duration> retry_after;
    /// Whether the upstream is leaving: a retry elsewhere adds no load to it, so the retry budget
    /// is not charged.
    bool leaving = false;

    friend bool operator==(const attempt_refusal&, const attempt_refusal&) = default;
};

/// State of a lifecycle, also for tests and status reports.
struct lifecycle_state {
    attempt_phase phase = attempt_phase::none;
    attempt_number attempt = 0;
    upstream_id upstream;
    /// Time of the attempt's latest progress.
    time_point progress_at;
    std::uint64_t resume_from = 0;
    std::uint64_t tokens_forwarded = 0;
    /// Software version of the current attempt's upstream, and the one that produced the forwarded
    /// tokens; empty if not stated.
    std::string attempt_software;
    std::string software;
    std::uint64_t bytes_forwarded = 0;
    /// Status of the forwarded head; 0 if none was forwarded.
    int head_status = 0;
    /// Whether any attempt, including the current one, may have run.
    bool may_have_run = false;
    std::uint32_t lost_attempts = 0;
    /// Why the latest attempt failed.
    std::optional<finish_reason> last_failure;
    std::optional<duration> soonest_retry;
    std::vector<upstream_id> tried;
    bool finished = false;

    friend bool operator==(const lifecycle_state&, const lifecycle_state&) = default;
};

/// State machine of one caller request at an entry: where it is sent, whether it is retried, which
/// parts of the response are forwarded to the caller, and the single final response.
///
/// A non-idempotent request is retried only while it is certain that it did not run. A token
/// stream that loses its upstream resumes on another one with the same software version, since what
/// two versions produce does not fit together, without losing or repeating a token. Events
/// of an earlier attempt are ignored, as is everything after the final response. `not_run` is
/// reported only if no byte was sent or an agent reported it.
class request_lifecycle {
public:
    /// `budget` is shared by all requests of the entry and must outlive this object.
    request_lifecycle(request_facts facts, lifecycle_limits limits, retry_budget& budget);

    /// Starts the request; must be called once, before any other event.
    lifecycle_actions start(time_point now);

    /// Result of choose_upstream.
    lifecycle_actions on_choice(const upstream_choice& choice, time_point now);

    /// Must be called before the first byte of an attempt is sent on its link. If it returns
    /// false, no byte may be sent: the attempt has ended, or the deadline has passed.
    [[nodiscard]] bool on_sent(attempt_number attempt, time_point now);

    /// The agent accepted the request, or reports again that it is queued.
    void on_queued(attempt_number attempt, time_point now);

    /// The agent is about to send the first byte to the upstream, which has this software version;
    /// empty if it states none.
    void on_started(attempt_number attempt, const std::string& software, time_point now);

    /// A token arrived; `index` counts from 0 over the whole response.
    lifecycle_actions on_token(attempt_number attempt, std::uint64_t index, time_point now);

    /// The status and headers of a plain service arrived.
    lifecycle_actions on_head(attempt_number attempt, int status, time_point now);

    /// A chunk of a plain service's body arrived.
    lifecycle_actions on_body(attempt_number attempt, std::uint64_t offset, std::uint64_t size,
                              time_point now);

    /// The upstream makes progress, but no part of the response arrived.
    void on_progress(attempt_number attempt, time_point now);

    /// The agent refused the request before sending any byte of it to the upstream.
    lifecycle_actions on_refused(attempt_number attempt, const attempt_refusal& refusal,
                                 time_point now);

    /// The attempt failed; `ran` is the run state reported by the agent.
    lifecycle_actions on_failed(attempt_number attempt, run_state ran, time_point now);

    /// The upstream completed the response. `total` counts the tokens of the whole response, or
    /// the bytes of a plain service's body.
    lifecycle_actions on_done(attempt_number attempt, std::uint64_t total, time_point now);

    /// The link that carries the attempt was lost.
    lifecycle_actions on_link_lost(attempt_number attempt, time_point now);

    lifecycle_actions on_caller_disconnected(time_point now);
    lifecycle_actions on_key_withdrawn(time_point now);

    /// Handles timeouts; must be called at next_timeout() or later.
    lifecycle_actions on_tick(time_point now);

    /// Time at which on_tick() is due, unless another event comes first.
    time_point next_timeout() const;

    const request_facts& facts() const { return facts_; }
    const lifecycle_state& state() const { return state_; }
    bool finished() const { return state_.finished; }

private:
    bool is_current(attempt_number attempt) const;
    bool handed_off() const;
    bool answer_begun() const;
    bool attempt_has_output() const;
    bool may_send_again() const;
    duration inactivity_limit() const;
    run_state known_run_state() const;
    std::optional<duration> retry_after(finish_reason reason) const;
    lifecycle_actions choose();
    lifecycle_actions fail_attempt(run_state ran, finish_reason reason);
    lifecycle_actions retry_elsewhere(bool charge_budget, finish_reason reason);
    lifecycle_actions abort(finish_reason reason);
    lifecycle_actions finish(finish_reason reason);
    lifecycle_actions cancel_current() const;
    void mark_progress(attempt_number attempt, attempt_phase phase, time_point now);
    void record_retry_after(std::optional<duration> wait);

    request_facts facts_;
    lifecycle_limits limits_;
    retry_budget* budget_;
    lifecycle_state state_;
};

} // namespace snipespar::route
