#include "route/request_lifecycle.h"

#include "route/retry_budget.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipespar::route {

namespace {

constexpr int http_ok = 200;
constexpr int http_unauthorized = 401;
constexpr int http_client_closed_request = 499;
constexpr int http_bad_gateway = 502;
constexpr int http_service_unavailable = 503;
constexpr int http_gateway_timeout = 504;

int status_of(finish_reason reason)
{
    switch (reason) {
    case finish_reason::complete:
        return http_ok;
    case finish_reason::no_upstream:
    case finish_reason::refused:
    case finish_reason::retries_exhausted:
        return http_service_unavailable;
    case finish_reason::upstream_lost:
    case finish_reason::bad_answer:
        return http_bad_gateway;
    case finish_reason::upstream_silent:
    case finish_reason::deadline_exceeded:
        return http_gateway_timeout;
    case finish_reason::key_withdrawn:
        return http_unauthorized;
    case finish_reason::caller_gone:
        break;
    }
    return http_client_closed_request;
}

void append(lifecycle_actions& actions, lifecycle_actions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}

} // namespace

std::string_view to_string(finish_reason reason)
{
    switch (reason) {
    case finish_reason::complete:
        return "complete";
    case finish_reason::no_upstream:
        return "no-upstream";
    case finish_reason::refused:
        return "refused";
    case finish_reason::retries_exhausted:
        return "retries-exhausted";
    case finish_reason::upstream_lost:
        return "upstream-lost";
    case finish_reason::upstream_silent:
        return "upstream-silent";
    case finish_reason::bad_answer:
        return "bad-answer";
    case finish_reason::deadline_exceeded:
        return "deadline-exceeded";
    case finish_reason::key_withdrawn:
        return "key-withdrawn";
    case finish_reason::caller_gone:
        break;
    }
    return "caller-gone";
}

request_lifecycle::request_lifecycle(request_facts facts, lifecycle_limits limits,
                                     retry_budget& budget)
    : facts_(std::move(facts)), limits_(limits), budget_(&budget)
{
}

lifecycle_actions request_lifecycle::start(time_point now)
{
    assert(state_.phase == attempt_phase::none && !state_.finished);
    budget_->on_request();
    if (now >= facts_.deadline) {
        return finish(finish_reason::deadline_exceeded);
    }
    return choose();
}

lifecycle_actions request_lifecycle::on_choice(const upstream_choice& choice, time_point now)
{
    if (state_.finished || state_.phase != attempt_phase::choosing) {
        return {};
    }
    if (now >= facts_.deadline) {
        return finish(finish_reason::deadline_exceeded);
    }
    if (!choice.upstream) {
        record_retry_after(choice.retry_after);
        return finish(state_.last_failure.value_or(finish_reason::no_upstream));
    }
    ++state_.attempt;
    state_.phase = attempt_phase::unsent;
    state_.upstream = *choice.upstream;
    state_.progress_at = now;
    state_.resume_from = state_.tokens_forwarded;
    state_.attempt_software.clear();
    state_.tried.push_back(*choice.upstream);
    return {send_attempt{state_.attempt, state_.upstream, state_.resume_from, state_.software}};
}

bool request_lifecycle::on_sent(attempt_number attempt, time_point now)
{
    if (!is_current(attempt) || now >= facts_.deadline) {
        return false;
    }
    if (state_.phase != attempt_phase::unsent) {
        return false;
    }
    state_.phase = attempt_phase::sent;
    state_.progress_at = now;
    return true;
}

void request_lifecycle::on_queued(attempt_number attempt, time_point now)
{
    mark_progress(attempt, attempt_phase::queued, now);
}

void request_lifecycle::on_started(attempt_number attempt, const std::string& software,
                                   time_point now)
{
    if (is_current(attempt)) {
        state_.attempt_software = software;
    }
    mark_progress(attempt, attempt_phase::started, now);
}

void request_lifecycle::on_progress(attempt_number attempt, time_point now)
{
    mark_progress(attempt, attempt_phase::started, now);
}

lifecycle_actions request_lifecycle::on_token(attempt_number attempt, std::uint64_t index,
                                              time_point now)
{
    if (!is_current(attempt)) {
        return {};
    }
    mark_progress(attempt, attempt_phase::started, now);
    if (facts_.answer != answer_kind::tokens || index < state_.resume_from ||
        index > state_.tokens_forwarded) {
        return fail_attempt(run_state::unknown, finish_reason::bad_answer);
    }
    if (index < state_.tokens_forwarded) {
        return {};
    }
    if (state_.tokens_forwarded > 0 && state_.attempt_software != state_.software) {
        return fail_attempt(run_state::unknown, finish_reason::bad_answer);
    }
    state_.software = state_.attempt_software;
    ++state_.tokens_forwarded;
    return {forward_token{index}};
}

lifecycle_actions request_lifecycle::on_head(attempt_number attempt, int status, time_point now)
{
    if (!is_current(attempt)) {
        return {};
    }
    mark_progress(attempt, attempt_phase::started, now);
    if (facts_.answer != answer_kind::body) {
        return fail_attempt(run_state::unknown, finish_reason::bad_answer);
    }
    if (state_.head_status != 0) {
        return {};
    }
    state_.head_status = status;
    return {forward_head{status}};
}

lifecycle_actions request_lifecycle::on_body(attempt_number attempt, std::uint64_t offset,
                                             std::uint64_t size, time_point now)
{
    if (!is_current(attempt)) {
        return {};
    }
    mark_progress(attempt, attempt_phase::started, now);
    if (state_.head_status == 0 || offset > state_.bytes_forwarded) {
        return fail_attempt(run_state::unknown, finish_reason::bad_answer);
    }
    if (offset < state_.bytes_forwarded) {
        const bool duplicate = offset + size <= state_.bytes_forwarded;
        return duplicate ? lifecycle_actions{}
                         : fail_attempt(run_state::unknown, finish_reason::bad_answer);
    }
    state_.bytes_forwarded += size;
    return {forward_body{offset, size}};
}

lifecycle_actions request_lifecycle::on_refused(attempt_number attempt,
                                                const attempt_refusal& refusal, time_point /*now*/)
{
    if (!is_current(attempt)) {
        return {};
    }
    if (attempt_has_output()) {
        return fail_attempt(run_state::unknown, finish_reason::bad_answer);
    }
    record_retry_after(refusal.retry_after);
    state_.phase = attempt_phase::none;
    return retry_elsewhere(!refusal.leaving, finish_reason::refused);
}

lifecycle_actions request_lifecycle::on_failed(attempt_number attempt, run_state ran,
                                               time_point now)
{
    if (!is_current(attempt)) {
        return {};
    }
    if (ran == run_state::not_run) {
        return on_refused(attempt, attempt_refusal{}, now);
    }
    return fail_attempt(ran, finish_reason::upstream_lost);
}

lifecycle_actions request_lifecycle::on_done(attempt_number attempt, std::uint64_t total,
                                             time_point now)
{
    if (!is_current(attempt)) {
        return {};
    }
    mark_progress(attempt, attempt_phase::started, now);
    const bool tokens = facts_.answer == answer_kind::tokens;
    const std::uint64_t forwarded = tokens ? state_.tokens_forwarded : state_.bytes_forwarded;
    const bool has_head = tokens || state_.head_status != 0;
    if (total != forwarded || !has_head) {
        return total < forwarded ? abort(finish_reason::bad_answer)
                                 : fail_attempt(run_state::ran, finish_reason::bad_answer);
    }
    return finish(finish_reason::complete);
}

lifecycle_actions request_lifecycle::on_link_lost(attempt_number attempt, time_point /*now*/)
{
    if (!is_current(attempt)) {
        return {};
    }
    const run_state ran = handed_off() ? run_state::unknown : run_state::not_run;
    return fail_attempt(ran, finish_reason::upstream_lost);
}

lifecycle_actions request_lifecycle::on_caller_disconnected(time_point /*now*/)
{
    return abort(finish_reason::caller_gone);
}

lifecycle_actions request_lifecycle::on_key_withdrawn(time_point /*now*/)
{
    return abort(finish_reason::key_withdrawn);
}

lifecycle_actions request_lifecycle::on_tick(time_point now)
{
    if (state_.finished || state_.phase == attempt_phase::none) {
        return {};
    }
    if (now >= facts_.deadline) {
        return abort(finish_reason::deadline_exceeded);
    }
    if (state_.phase == attempt_phase::choosing || now < state_.progress_at + inactivity_limit()) {
        return {};
    }
    const run_state ran = handed_off() ? run_state::unknown : run_state::not_run;
    return fail_attempt(ran, finish_reason::upstream_silent);
}

time_point request_lifecycle::next_timeout() const
{
    if (state_.finished) {
        return time_point::max();
    }
    const bool has_attempt =
        state_.phase != attempt_phase::none && state_.phase != attempt_phase::choosing;
    return has_attempt ? std::min(facts_.deadline, state_.progress_at + inactivity_limit())
                       : facts_.deadline;
}

bool request_lifecycle::is_current(attempt_number attempt) const
{
    return !state_.finished && attempt == state_.attempt && state_.phase != attempt_phase::none &&
           state_.phase != attempt_phase::choosing;
}

bool request_lifecycle::handed_off() const
{
    return state_.phase == attempt_phase::sent || state_.phase == attempt_phase::queued ||
           state_.phase == attempt_phase::started;
}

bool request_lifecycle::answer_begun() const
{
    return state_.tokens_forwarded > 0 || state_.head_status != 0;
}

// Whether any part of the response came from the current attempt.
bool request_lifecycle::attempt_has_output() const
{
    return state_.tokens_forwarded > state_.resume_from || state_.head_status != 0;
}

bool request_lifecycle::may_send_again() const
{
    if (state_.may_have_run && !facts_.idempotent) {
        return false;
    }
    // No upstream is known to be able to continue what an unstated version began.
    const bool is_of_unknown_version = state_.tokens_forwarded > 0 && state_.software.empty();
    return state_.head_status == 0 && !is_of_unknown_version;
}

duration request_lifecycle::inactivity_limit() const
{
    switch (state_.phase) {
    case attempt_phase::queued:
        return limits_.queue_timeout;
    case attempt_phase::started:
        return limits_.progress_timeout;
    default:
        return limits_.accept_timeout;
    }
}

run_state request_lifecycle::known_run_state() const
{
    if (answer_begun()) {
        return run_state::ran;
    }
    return state_.may_have_run || handed_off() ? run_state::unknown : run_state::not_run;
}

// A retry cannot succeed with a withdrawn key, and is unsafe if an attempt may have run.
std::optional<duration> request_lifecycle::retry_after(finish_reason reason) const
{
    if (reason == finish_reason::complete || reason == finish_reason::key_withdrawn ||
        reason == finish_reason::caller_gone) {
        return std::nullopt;
    }
    const bool safe = facts_.idempotent || known_run_state() == run_state::not_run;
    if (!safe) {
        return std::nullopt;
    }
    return state_.soonest_retry.value_or(limits_.default_retry_after);
}

lifecycle_actions request_lifecycle::choose()
{
    state_.phase = attempt_phase::choosing;
    return {choose_upstream{state_.tried, state_.software}};
}

lifecycle_actions request_lifecycle::fail_attempt(run_state ran, finish_reason reason)
{
    lifecycle_actions actions = cancel_current();
    if (ran != run_state::not_run) {
        state_.may_have_run = true;
        ++state_.lost_attempts;
    }
    state_.phase = attempt_phase::none;
    append(actions, retry_elsewhere(true, reason));
    return actions;
}

lifecycle_actions request_lifecycle::retry_elsewhere(bool charge_budget, finish_reason reason)
{
    state_.last_failure = reason;
    if (!may_send_again()) {
        return finish(reason);
    }
    if (state_.attempt >= limits_.max_attempts ||
        state_.lost_attempts >= limits_.max_lost_attempts) {
        return finish(finish_reason::retries_exhausted);
    }
    if (charge_budget && !budget_->try_take()) {
        return finish(finish_reason::retries_exhausted);
    }
    return choose();
}

lifecycle_actions request_lifecycle::abort(finish_reason reason)
{
    if (state_.finished) {
        return {};
    }
    lifecycle_actions actions = cancel_current();
    append(actions, finish(reason));
    return actions;
}

lifecycle_actions request_lifecycle::finish(finish_reason reason)
{
    assert(!state_.finished);
    finish_request answer;
    const bool complete = reason == finish_reason::complete;
    answer.status =
        complete && facts_.answer == answer_kind::body ? state_.head_status : status_of(reason);
    answer.ran = complete ? run_state::ran : known_run_state();
    answer.reason = reason;
    answer.retry_after = retry_after(reason);
    answer.answer_begun = answer_begun();
    state_.finished = true;
    state_.phase = attempt_phase::none;
    return {answer};
}

lifecycle_actions request_lifecycle::cancel_current() const
{
    const bool has_attempt =
        state_.phase != attempt_phase::none && state_.phase != attempt_phase::choosing;
    if (!has_attempt) {
        return {};
    }
    return {cancel_attempt{state_.attempt, state_.upstream}};
}

void request_lifecycle::mark_progress(attempt_number attempt, attempt_phase phase, time_point now)
{
    if (is_current(attempt)) {
        state_.phase = std::max(state_.phase, phase);
        state_.progress_at = now;
    }
}

void request_lifecycle::record_retry_after(std::optional<duration> wait)
{
    if (wait) {
        state_.soonest_retry = std::min(*wait, state_.soonest_retry.value_or(*wait));
    }
}

} // namespace snipespar::route
