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

/// Limits of every request at one entry.
struct lifecycle_limits {
    /// Longest wait from handing an attempt to a link until the agent confirms it.
    duration accept_timeout = std::chrono::seconds(2);
    /// Longest silence of an accepted attempt that waits in the agent's queue.
    duration queue_timeout = std::chrono::seconds(30);
    /// Longest silence of an attempt that the upstream is running.
    duration progress_timeout = std::chrono::seconds(10);
    /// Attempts of one request, refused ones included.
    std::uint32_t max_attempts = 5;
    /// Attempts that may be lost after a possible hand-off. A request that crashes what runs it
    /// takes down no more upstreams than this.
    std::uint32_t max_lost_attempts = 2;
    /// When to come back if nobody names a better time.
    duration default_retry_after = std::chrono::seconds(1);

    friend bool operator==(const lifecycle_limits&, const lifecycle_limits&) = default;
};

/// What the answer of a request consists of.
enum class answer_kind {
    /// Tokens, which another upstream can resume from any index.
    tokens,
    /// A status with a body of bytes, which nobody can resume.
    body,
};

/// What a request is, as far as its lifecycle depends on it.
struct request_facts {
    std::string id;
    /// Whether running it twice is harmless.
    bool idempotent = false;
    answer_kind answer = answer_kind::tokens;
    time_point deadline;

    friend bool operator==(const request_facts&, const request_facts&) = default;
};

/// How far the current attempt has come.
enum class attempt_phase {
    /// There is no attempt.
    none,
    /// An upstream is being chosen.
    choosing,
    /// No byte went to the link yet.
    unsent,
    /// The first byte may have gone to the link.
    sent,
    /// The agent holds it; the upstream has no byte of it.
    queued,
    /// The upstream may have it.
    started,
};

/// The answer of the ranking to choose_upstream.
struct upstream_choice {
    /// Empty when no upstream may take the request.
    std::optional<upstream_id> upstream;
    /// When one may be free, if that is known.
    std::optional<duration> retry_after;

    friend bool operator==(const upstream_choice&, const upstream_choice&) = default;
};

/// A refusal by an agent that holds the request and gave no byte of it to its upstream.
struct attempt_refusal {
    std::optional<duration> retry_after;
    /// Set when the upstream is leaving: trying elsewhere costs it nothing, so the retry budget
    /// is not charged.
    bool leaving = false;

    friend bool operator==(const attempt_refusal&, const attempt_refusal&) = default;
};

/// Everything a lifecycle remembers, for comparison in tests and for status.
struct lifecycle_state {
    attempt_phase phase = attempt_phase::none;
    attempt_number attempt = 0;
    upstream_id upstream;
    /// Moment of the attempt's latest sign of progress.
    time_point progress_at;
    std::uint64_t resume_from = 0;
    std::uint64_t tokens_forwarded = 0;
    std::uint64_t bytes_forwarded = 0;
    /// Status of the head that was forwarded; 0 before it.
    int head_status = 0;
    /// Whether some earlier or current attempt may have run.
    bool may_have_run = false;
    std::uint32_t lost_attempts = 0;
    /// Why the latest attempt ended.
    std::optional<finish_reason> last_failure;
    std::optional<duration> soonest_retry;
    std::vector<upstream_id> tried;
    bool finished = false;

    friend bool operator==(const lifecycle_state&, const lifecycle_state&) = default;
};

/// Decides the course of one caller request at an entry: where it is sent, when it may be sent
/// again, what of the answer reaches the caller, and the one final answer.
///
/// A non-idempotent request is sent again only while it is certain that it did not run. A token
/// stream that loses its upstream resumes on another without a lost or doubled token. Events that
/// name an earlier attempt are ignored, as is everything after the final answer. `not_run` is
/// said only when no byte went out or an agent said so.
class request_lifecycle {
public:
    /// The budget is shared by the requests of the entry and must outlive this object.
    request_lifecycle(request_facts facts, lifecycle_limits limits, retry_budget& budget);

    /// Begins the request; to be called once, before any other event.
    lifecycle_actions start(time_point now);

    /// Answers choose_upstream.
    lifecycle_actions on_choice(const upstream_choice& choice, time_point now);

    /// To be called before the first byte of an attempt goes to its link. When it returns false,
    /// no byte may go out: the attempt is over, or the deadline passed.
    [[nodiscard]] bool on_sent(attempt_number attempt, time_point now);

    /// The agent holds the request, or says again that it waits in its queue.
    void on_queued(attempt_number attempt, time_point now);

    /// The agent is about to give the upstream the first byte.
    void on_started(attempt_number attempt, time_point now);

    /// A token arrived, counted from 0 over the whole answer.
    lifecycle_actions on_token(attempt_number attempt, std::uint64_t index, time_point now);

    /// The status and headers of a plain service arrived.
    lifecycle_actions on_head(attempt_number attempt, int status, time_point now);

    /// A piece of a plain service's body arrived.
    lifecycle_actions on_body(attempt_number attempt, std::uint64_t offset, std::uint64_t size,
                              time_point now);

    /// The upstream is at work, though nothing of the answer came.
    void on_progress(attempt_number attempt, time_point now);

    /// The agent refused the request before any byte of it reached the upstream.
    lifecycle_actions on_refused(attempt_number attempt, const attempt_refusal& refusal,
                                 time_point now);

    /// The attempt failed; `ran` is what the agent knows of it.
    lifecycle_actions on_failed(attempt_number attempt, run_state ran, time_point now);

    /// The upstream ended the answer. `total` counts the tokens of the whole answer, or the bytes
    /// of a plain service's body.
    lifecycle_actions on_done(attempt_number attempt, std::uint64_t total, time_point now);

    /// The link that carries the attempt is gone.
    lifecycle_actions on_link_lost(attempt_number attempt, time_point now);

    lifecycle_actions on_caller_disconnected(time_point now);
    lifecycle_actions on_key_withdrawn(time_point now);

    /// Applies the timeouts; to be called at next_timeout() or later.
    lifecycle_actions on_tick(time_point now);

    /// When on_tick() has something to do, if nothing happens before.
    time_point next_timeout() const;

    const request_facts& facts() const { return facts_; }
    const lifecycle_state& state() const { return state_; }
    bool finished() const { return state_.finished; }

private:
    bool is_current(attempt_number attempt) const;
    bool handed_off() const;
    bool answer_begun() const;
    bool attempt_answered() const;
    bool may_send_again() const;
    duration silence_limit() const;
    run_state known_run_state() const;
    std::optional<duration> retry_after(finish_reason reason) const;
    lifecycle_actions choose();
    lifecycle_actions lose_attempt(run_state ran, finish_reason reason);
    lifecycle_actions try_elsewhere(bool charge_budget, finish_reason reason);
    lifecycle_actions abort(finish_reason reason);
    lifecycle_actions finish(finish_reason reason);
    lifecycle_actions cancel_current() const;
    void mark_progress(attempt_number attempt, attempt_phase phase, time_point now);
    void note_retry_after(std::optional<duration> wait);

    request_facts facts_;
    lifecycle_limits limits_;
    retry_budget* budget_;
    lifecycle_state state_;
};

} // namespace snipespar::route
