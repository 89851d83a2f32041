#include "entry/request_session.h"

#include "net/steady_time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

// The agent's reason if it received the withdrawal before this entry did.
constexpr std::string_view key_withdrawn_reason = "key_withdrawn";

namespace asio = boost::asio;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

std::chrono::milliseconds to_milliseconds(duration time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

std::optional<duration> optional_wait(std::uint64_t milliseconds)
{
    if (milliseconds == 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(milliseconds);
}

} // namespace

request_session::request_session(const asio::any_io_executor& executor, route::request_facts facts,
                                 upstream_need need, link::run_request request,
                                 route::retry_budget& budget, session_services services)
    : executor_(executor), timer_(executor), part_ready_(executor), need_(std::move(need)),
      request_(std::move(request)), services_(std::move(services)),
      lifecycle_(std::move(facts), route::lifecycle_limits{}, budget)
{
    part_ready_.expires_at(asio::steady_timer::time_point::max());
}

void request_session::start()
{
    apply(lifecycle_.start(steady_now()));
}

asio::awaitable<response_part> request_session::next()
{
    while (parts_.empty()) {
        co_await part_ready_.async_wait(as_result);
    }
    response_part part = std::move(parts_.front());
    parts_.pop_front();
    co_return part;
}

void request_session::written(std::uint64_t bytes)
{
    if (ticket_ != 0 && bytes > 0) {
        services_.links.allow(ticket_, bytes);
    }
}

void request_session::caller_disconnected()
{
    cancel_outcome_ = attempt_outcome::inconclusive;
    apply(lifecycle_.on_caller_disconnected(steady_now()));
}

void request_session::key_withdrawn()
{
    cancel_outcome_ = attempt_outcome::inconclusive;
    apply(lifecycle_.on_key_withdrawn(steady_now()));
}

void request_session::apply(const route::lifecycle_actions& actions)
{
    for (const auto& action : actions) {
        std::visit([this](const auto& value) { carry_out(value); }, action);
    }
    arm_timer();
}

void request_session::carry_out(const route::choose_upstream& action)
{
    need_.software = action.software;
    services_.choose(need_, action.tried,
                     [self = shared_from_this()](const route::upstream_choice& choice) {
                         asio::post(self->executor_, [self, choice] {
                             self->apply(self->lifecycle_.on_choice(choice, steady_now()));
                         });
                     });
}

void request_session::carry_out(const route::send_attempt& action)
{
    const auto now = steady_now();
    upstream_ = action.upstream;
    attempt_began_ = now;
    if (!lifecycle_.on_sent(action.attempt, now)) {
        end_attempt(attempt_outcome::inconclusive);
        return;
    }
    ticket_ = services_.next_ticket();
    link::run_request attempt = request_;
    attempt.attempt = action.attempt;
    attempt.resume_from = action.resume_from;
    attempt.software = action.software;
    attempt.deadline_ms = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, to_milliseconds(lifecycle_.facts().deadline - now).count()));
    stream_owner owner;
    owner.received = [self = shared_from_this(), number = action.attempt](link::frame message) {
        asio::post(self->executor_, [self, number, message = std::move(message)]() mutable {
            self->on_frame(number, std::move(message));
        });
    };
    owner.lost = [self = shared_from_this(), number = action.attempt](bool sent) {
        asio::post(self->executor_, [self, number, sent] { self->on_attempt_lost(number, sent); });
    };
    services_.links.open(ticket_, action.upstream, std::move(attempt), std::move(owner));
}

void request_session::carry_out(const route::cancel_attempt& /*action*/)
{
    if (ticket_ != 0) {
        services_.links.cancel(ticket_);
        end_attempt(cancel_outcome_);
    }
}

void request_session::carry_out(const route::forward_token& /*action*/)
{
    push(response_token{std::move(std::get<link::token>(current_frame_).text)});
}

void request_session::carry_out(const route::forward_head& action)
{
    push(response_start{action.status,
                        std::move(std::get<link::response_head>(current_frame_).headers)});
}

void request_session::carry_out(const route::forward_body& /*action*/)
{
    push(response_body{std::move(std::get<link::body_chunk>(current_frame_).bytes)});
}

void request_session::carry_out(const route::finish_request& action)
{
    end_.finish = action;
    end_.completion_tokens = lifecycle_.state().tokens_forwarded;
    push(end_);
}

void request_session::on_frame(route::attempt_number attempt, link::frame message)
{
    if (attempt != lifecycle_.state().attempt) {
        return;
    }
    const auto now = steady_now();
    current_frame_ = std::move(message);
    if (std::holds_alternative<link::accepted>(current_frame_)) {
        lifecycle_.on_queued(attempt, now);
        arm_timer();
    }
    else if (const auto* begun = std::get_if<link::started>(&current_frame_)) {
        lifecycle_.on_started(attempt, begun->software, now);
        arm_timer();
    }
    else if (const auto* token = std::get_if<link::token>(&current_frame_)) {
        apply(lifecycle_.on_token(attempt, token->index, now));
    }
    else if (const auto* head = std::get_if<link::response_head>(&current_frame_)) {
        apply(lifecycle_.on_head(attempt, static_cast<int>(head->status), now));
    }
    else if (const auto* chunk = std::get_if<link::body_chunk>(&current_frame_)) {
        apply(lifecycle_.on_body(attempt, chunk->offset, chunk->bytes.size(), now));
    }
    else if (const auto* refusal = std::get_if<link::refused>(&current_frame_)) {
        end_.detail = refusal->reason;
        end_attempt(attempt_outcome::inconclusive);
        const bool leaving = refusal->reason == "draining";
        if (refusal->reason == key_withdrawn_reason) {
            return apply(lifecycle_.on_key_withdrawn(now));
        }
        apply(
            lifecycle_.on_refused(attempt, {optional_wait(refusal->retry_after_ms), leaving}, now));
    }
    else if (const auto* failure = std::get_if<link::failed>(&current_frame_)) {
        end_.detail = failure->reason;
        if (failure->reason == key_withdrawn_reason) {
            end_attempt(attempt_outcome::inconclusive);
            return apply(lifecycle_.on_key_withdrawn(now));
        }
        end_attempt(attempt_outcome::failed);
        apply(lifecycle_.on_failed(attempt, failure->state, now));
    }
    else if (const auto* finished = std::get_if<link::done>(&current_frame_)) {
        end_.prompt_tokens = finished->prompt_tokens;
        end_.finish_reason = finished->finish_reason;
        end_attempt(attempt_outcome::succeeded);
        apply(lifecycle_.on_done(attempt, finished->total, now));
    }
}

void request_session::on_attempt_lost(route::attempt_number attempt, bool sent)
{
    if (attempt != lifecycle_.state().attempt) {
        return;
    }
    end_.detail = "link_lost";
    end_attempt(attempt_outcome::failed);
    const auto now = steady_now();
    apply(sent ? lifecycle_.on_link_lost(attempt, now)
               : lifecycle_.on_failed(attempt, run_state::not_run, now));
}

void request_session::end_attempt(attempt_outcome outcome)
{
    ticket_ = 0;
    if (!upstream_.empty()) {
        services_.attempt_ended(std::exchange(upstream_, {}), outcome,
                                steady_now() - attempt_began_);
    }
}

void request_session::arm_timer()
{
    if (lifecycle_.finished()) {
        timer_.cancel();
        return;
    }
    timer_.expires_at(
        std::chrono::steady_clock::time_point(lifecycle_.next_timeout().time_since_epoch()));
    timer_.async_wait([weak = weak_from_this()](const auto& error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->apply(self->lifecycle_.on_tick(steady_now()));
        }
    });
}

void request_session::push(response_part part)
{
    parts_.push_back(std::move(part));
    part_ready_.cancel();
}

} // namespace snipespar::entry
