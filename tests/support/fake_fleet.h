#pragma once

#include "route/request_lifecycle.h"
#include "route/retry_budget.h"

#include <deque>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace snipespar::route {

/// Point of an attempt at which its fault is injected.
enum class fault_step {
    before_link,
    on_link,
    in_queue,
    at_first_byte,
    in_the_middle,
    after_the_answer,
    none,
};

/// Fault injected at that point.
enum class fault_kind {
    /// The agent and its upstream crash; the entry sees the link close.
    kill,
    /// Nothing more arrives until the entry has given the attempt up; then the agent resumes.
    freeze,
    /// The link closes while the agent continues; its frames arrive late.
    cut,
    /// The upstream crashes: the agent reports a failure if it had the request, and refuses it
    /// otherwise.
    upstream_death,
    /// One token or body chunk never arrives.
    gap,
    /// The response ends early, as if complete.
    truncate,
    /// Every frame arrives twice.
    doubled,
};

/// The fault of one attempt.
struct attempt_fault {
    fault_step step = fault_step::none;
    fault_kind kind = fault_kind::kill;
};

/// Simulates the agents and upstreams of one request, with a fault per attempt. Counts executions
/// and checks every action of the lifecycle against what the caller may see.
class fake_fleet {
public:
    static constexpr std::uint64_t answer_length = 4;

    fake_fleet(bool idempotent, answer_kind answer, std::vector<attempt_fault> faults)
        : faults_(std::move(faults)), answer_(answer),
          lifecycle_(make_facts(idempotent, answer), lifecycle_limits{}, budget_)
    {
    }

    /// Runs the request to its end, then delivers the remaining frames.
    void run()
    {
        apply(lifecycle_.start(now_));
        for (int step = 0; step < max_steps && !lifecycle_.finished(); ++step) {
            if (frames_.empty()) {
                now_ = lifecycle_.next_timeout();
                apply(lifecycle_.on_tick(now_));
            }
            else {
                deliver_next();
            }
        }
        emit_frozen();
        while (!frames_.empty()) {
            deliver_next();
        }
        check(finish_.has_value(), "no final response");
        check_outcome();
    }

    int executions() const { return executions_; }
    const finish_request& finish() const { return *finish_; }

private:
    enum class frame_kind { queued, started, item, done, refused, failed, link_lost };
    struct frame {
        attempt_number attempt;
        frame_kind kind;
        std::uint64_t index = 0;
    };
    static constexpr int max_steps = 400;
    static constexpr int ok = 200;

    static request_facts make_facts(bool idempotent, answer_kind answer)
    {
        return {"r1", idempotent, answer, time_point(std::chrono::minutes(5))};
    }

    static void check(bool condition, const char* what)
    {
        if (!condition) {
            throw std::logic_error(what);
        }
    }

    void check_outcome() const
    {
        check(lifecycle_.facts().idempotent || executions_ <= 1, "executed twice");
        check(finish_->ran != run_state::not_run || executions_ == 0,
              "executed although reported as not_run");
        const bool complete = finish_->reason == finish_reason::complete;
        check(!complete || delivered_ == answer_length, "incomplete response reported as success");
        check(complete || finish_->status != ok, "failure reported with a success status");
    }

    void apply(const lifecycle_actions& actions)
    {
        for (const auto& action : actions) {
            std::visit([this](const auto& value) { perform(value); }, action);
        }
    }

    void perform(const choose_upstream& action)
    {
        upstream_choice choice;
        choice.upstream = upstream_id("u" + std::to_string(action.tried.size()));
        apply(lifecycle_.on_choice(choice, now_));
    }

    void perform(const send_attempt& action)
    {
        check(action.resume_from == delivered_ || answer_ == answer_kind::body,
              "resumes at the wrong token");
        run_attempt(action);
    }

    void perform(const cancel_attempt&) {} // Cancellations are always lost.
    void perform(const forward_token& action)
    {
        check(action.index == delivered_++, "unexpected token index");
    }
    void perform(const forward_head& /*action*/)
    {
        check(body_attempt_ == 0, "response head sent twice");
        body_attempt_ = delivering_;
    }

    void perform(const forward_body& action)
    {
        check(action.offset == delivered_, "unexpected body offset");
        check(delivering_ == body_attempt_, "body mixes two attempts");
        delivered_ += action.size;
    }

    void perform(const finish_request& action)
    {
        check(!finish_.has_value(), "two final responses");
        finish_ = action;
    }

    // Queues the frames of one attempt up to its fault, then applies the fault.
    void run_attempt(const send_attempt& action)
    {
        const std::size_t attempt_index = action.attempt - 1;
        const attempt_fault fault =
            attempt_index < faults_.size() ? faults_[attempt_index] : attempt_fault{};
        const attempt_number id = action.attempt;
        if (fault.step == fault_step::before_link) {
            frames_.push_back({id, frame_kind::link_lost});
            return;
        }
        if (!lifecycle_.on_sent(id, now_)) {
            return;
        }
        std::vector<frame> script = answer_script(id, action.resume_from);
        const std::size_t reached = frames_before(fault.step, script.size());
        for (std::size_t i = 0; i < reached; ++i) {
            emit(script[i], fault);
        }
        const std::vector<frame> remaining(script.begin() + static_cast<std::ptrdiff_t>(reached),
                                           script.end());
        if (!remaining.empty()) {
            inject_fault(fault, remaining);
        }
    }

    std::vector<frame> answer_script(attempt_number id, std::uint64_t from) const
    {
        std::vector<frame> script{{id, frame_kind::queued}, {id, frame_kind::started}};
        for (std::uint64_t index = from; index < answer_length; ++index) {
            script.push_back({id, frame_kind::item, index});
        }
        script.push_back({id, frame_kind::done, answer_length});
        return script;
    }

    static std::size_t frames_before(fault_step step, std::size_t length)
    {
        switch (step) {
        case fault_step::before_link:
        case fault_step::on_link:
            return 0;
        case fault_step::in_queue:
            return 1;
        case fault_step::at_first_byte:
            return 2;
        case fault_step::in_the_middle:
            return std::min<std::size_t>(4, length - 1);
        case fault_step::after_the_answer:
            return length - 1;
        case fault_step::none:
            break;
        }
        return length;
    }

    void emit(const frame& item, const attempt_fault& fault)
    {
        execute_if_started(item);
        frames_.push_back(item);
        if (fault.kind == fault_kind::doubled) {
            frames_.push_back(item);
        }
    }

    void execute_if_started(const frame& item)
    {
        executions_ += item.kind == frame_kind::started ? 1 : 0;
    }

    void inject_fault(const attempt_fault& fault, const std::vector<frame>& remaining)
    {
        const frame next = remaining.front();
        const bool upstream_has_it = next.kind == frame_kind::item || next.kind == frame_kind::done;
        switch (fault.kind) {
        case fault_kind::kill:
            frames_.push_back({next.attempt, frame_kind::link_lost});
            break;
        case fault_kind::freeze:
            frozen_.insert(frozen_.end(), remaining.begin(), remaining.end());
            break;
        case fault_kind::cut:
            frames_.push_back({next.attempt, frame_kind::link_lost});
            emit_all(remaining);
            break;
        case fault_kind::upstream_death:
            frames_.push_back(
                {next.attempt, upstream_has_it ? frame_kind::failed : frame_kind::refused});
            break;
        case fault_kind::gap:
            emit_all(
                {remaining.begin() + (next.kind == frame_kind::item ? 1 : 0), remaining.end()});
            break;
        case fault_kind::truncate:
            emit_all({next.kind == frame_kind::item ? remaining.end() - 1 : remaining.begin(),
                      remaining.end()});
            break;
        case fault_kind::doubled:
            emit_all(remaining);
            emit_all(remaining);
            executions_ -= next.kind == frame_kind::queued || next.kind == frame_kind::started;
            break;
        }
    }

    void emit_all(const std::vector<frame>& items)
    {
        for (const auto& item : items) {
            emit(item, {});
        }
    }

    void emit_frozen()
    {
        emit_all(frozen_);
        frozen_.clear();
    }

    void deliver_next()
    {
        const frame item = frames_.front();
        frames_.pop_front();
        delivering_ = item.attempt;
        now_ += std::chrono::milliseconds(1);
        apply(deliver(item));
        if (!frozen_.empty() && lifecycle_.state().attempt > frozen_.front().attempt) {
            emit_frozen();
        }
    }

    lifecycle_actions deliver(const frame& item)
    {
        switch (item.kind) {
        case frame_kind::queued:
            lifecycle_.on_queued(item.attempt, now_);
            return {};
        case frame_kind::started:
            lifecycle_.on_started(item.attempt, "v1", now_);
            return {};
        case frame_kind::item:
            return deliver_item(item);
        case frame_kind::done:
            return lifecycle_.on_done(item.attempt, item.index, now_);
        case frame_kind::refused:
            return lifecycle_.on_refused(item.attempt, {}, now_);
        case frame_kind::failed:
            return lifecycle_.on_failed(item.attempt, run_state::unknown, now_);
        case frame_kind::link_lost:
            break;
        }
        return lifecycle_.on_link_lost(item.attempt, now_);
    }

    lifecycle_actions deliver_item(const frame& item)
    {
        if (answer_ == answer_kind::tokens) {
            return lifecycle_.on_token(item.attempt, item.index, now_);
        }
        if (item.index == 0) {
            apply(lifecycle_.on_head(item.attempt, ok, now_));
        }
        return lifecycle_.on_body(item.attempt, item.index, 1, now_);
    }

    std::vector<attempt_fault> faults_;
    answer_kind answer_;
    retry_budget budget_;
    request_lifecycle lifecycle_;
    time_point now_{};
    std::deque<frame> frames_;
    std::vector<frame> frozen_;
    std::optional<finish_request> finish_;
    std::uint64_t delivered_ = 0;
    attempt_number delivering_ = 0;
    attempt_number body_attempt_ = 0;
    int executions_ = 0;
};

} // namespace snipespar::route
