#include "entry/caller_connection.h"

#include "config/access.h"
#include "entry/claim_refusal.h"
#include "entry/completion_writer.h"
#include "entry/request_planner.h"
#include "net/steady_time.h"

#include <absl/cleanup/cleanup.h>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr int http_version = 11;
constexpr std::uint32_t max_header_bytes = 16384;
constexpr auto idle_timeout = std::chrono::seconds(75);
constexpr auto body_timeout = std::chrono::seconds(30);
constexpr auto write_timeout = std::chrono::seconds(30);
constexpr auto startup_retry_after = std::chrono::seconds(1);

refusal read_refusal(const beast::error_code& error)
{
    if (error == http::error::body_limit) {
        return {413, "body_too_large", "The request body is too large.", run_state::not_run, {}};
    }
    if (error == http::error::header_limit) {
        return {
            431, "headers_too_large", "The request headers are too large.", run_state::not_run, {}};
    }
    return {400,
            "malformed_http",
            "The request is not well-formed HTTP: " + error.message(),
            run_state::not_run,
            {}};
}

bool is_malformed_request(const beast::error_code& error)
{
    return error.category() == beast::error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

refusal refusal_of(const response_end& end)
{
    refusal error;
    error.status = end.finish.status;
    error.code = std::string(to_string(end.finish.reason));
    error.message = "The request was not completed";
    if (!end.detail.empty()) {
        error.message += " (" + end.detail + ")";
    }
    error.message += ".";
    error.ran = end.finish.ran;
    error.retry_after = end.finish.retry_after;
    return error;
}

bool is_complete(const response_end& end)
{
    return end.finish.reason == route::finish_reason::complete;
}

std::string event_text(std::string_view data)
{
    std::string text = "data: ";
    text += data;
    text += "\n\n";
    return text;
}

} // namespace

// A response, or the head of one whose body follows in chunks.
struct caller_connection::reply {
    int status = 200;
    std::string content_type;
    run_state ran = run_state::unknown;
    std::optional<duration> retry_after;
    std::vector<link::header_field> headers;
    std::string body;
};

// Result of a claim.
struct caller_connection::claim_result {
    claims::claim_nonce nonce;
    claims::claim_decision decision;
};

caller_connection::caller_connection(asio::ip::tcp::socket socket,
                                     const connection_services& services)
    : stream_(std::move(socket)), services_(services)
{
}

asio::awaitable<void> caller_connection::serve()
{
    beast::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    auto step = next_step::read_again;
    while (step == next_step::read_again && !services_.draining()) {
        const auto request = co_await read_request();
        if (!request) {
            break;
        }
        step = co_await respond(*request);
    }
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream_.close();
}

void caller_connection::drain()
{
    if (reading_ && buffer_.size() == 0) {
        stream_.close();
    }
}

void caller_connection::check_key(const config::access& access)
{
    if (session_ && !session_->request().key.empty() && !access.is_valid(session_->request().key)) {
        session_->key_withdrawn();
    }
}

asio::awaitable<std::optional<caller_request>> caller_connection::read_request()
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(max_header_bytes);
    parser.body_limit(services_.max_body_bytes);
    stream_.expires_after(idle_timeout);
    reading_ = true;
    auto [error, header_bytes] =
        co_await http::async_read_header(stream_, buffer_, parser, as_result);
    reading_ = false;
    if (!error && !parser.is_done()) {
        stream_.expires_after(body_timeout);
        if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            http::response<http::empty_body> proceed{http::status::continue_, http_version};
            co_await http::async_write(stream_, proceed, as_result);
        }
        std::tie(error, header_bytes) =
            co_await http::async_read(stream_, buffer_, parser, as_result);
    }
    caller_keeps_alive_ = false;
    caller_accepts_chunked_ = true;
    head_only_ = false;
    if (error && !is_malformed_request(error)) {
        co_return std::nullopt;
    }
    request_id_ = services_.next_request_id();
    if (error) {
        co_await write_refusal(read_refusal(error));
        co_return std::nullopt;
    }
    auto message = parser.release();
    caller_keeps_alive_ = message.keep_alive();
    caller_accepts_chunked_ = message.version() >= http_version;
    head_only_ = message.method() == http::verb::head;
    caller_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    co_return request;
}

asio::awaitable<caller_connection::next_step>
caller_connection::respond(const caller_request& request)
{
    begin_outcome(request);
    services_.request_began();
    const absl::Cleanup end_request = [this] { services_.request_ended(outcome_); };
    co_return co_await respond_planned(request);
}

asio::awaitable<caller_connection::next_step>
caller_connection::respond_planned(const caller_request& request)
{
    const auto access = services_.access();
    if (!access) {
        co_return co_await write_refusal({503, "starting", "No configuration is in force yet.",
                                          run_state::not_run, startup_retry_after});
    }
    if (!services_.is_confirmed()) {
        co_return co_await write_refusal({503, "configuration_unconfirmed",
                                          "This host cannot confirm its configuration.",
                                          run_state::not_run, startup_retry_after});
    }
    auto plan =
        plan_request(*access, request, request_id_, outcome_.began, services_.request_timeout);
    if (const auto* error = std::get_if<refusal>(&plan)) {
        co_return co_await write_refusal(*error);
    }
    if (auto* local = std::get_if<local_response>(&plan)) {
        reply whole;
        whole.content_type = "application/json";
        whole.ran = run_state::ran;
        whole.body = std::move(local->json);
        outcome_.reason = to_string(route::finish_reason::complete);
        co_return co_await write_whole(whole);
    }
    auto planned = std::get<planned_request>(std::move(plan));
    planned.run.traceparent = format_traceparent(outcome_.trace);
    outcome_.team = planned.run.team;
    outcome_.target = planned.is_completion() ? planned.run.adapter.str() : planned.need.serves;
    if (!planned.facts.idempotent && !planned.idempotency_key.empty()) {
        co_return co_await run_claimed(planned);
    }
    co_return co_await admit(planned);
}

asio::awaitable<caller_connection::next_step>
caller_connection::admit(const planned_request& planned)
{
    if (planned.budget_tokens == 0) {
        co_return co_await run(planned);
    }
    reservation_ = services_.reserve(stream_.get_executor(), planned);
    const absl::Cleanup release = [this] { reservation_.reset(); };
    if (const auto refused = co_await reservation_->decided()) {
        co_return co_await write_refusal(*refused);
    }
    co_return co_await run(planned);
}

asio::awaitable<caller_connection::next_step>
caller_connection::run_claimed(const planned_request& planned)
{
    if (!services_.claim) {
        co_return co_await write_refusal(
            claim_refusal(claims::claim_refused{startup_retry_after, false}));
    }
    const claim_result claimed = co_await claim(planned);
    const auto* replayed = std::get_if<claims::claim_replayed>(&claimed.decision);
    if (replayed != nullptr && replayed->answer.body) {
        co_return co_await write_replay(replayed->answer);
    }
    if (!std::holds_alternative<claims::claim_granted>(claimed.decision)) {
        co_return co_await write_refusal(claim_refusal(claimed.decision));
    }
    recorder_.emplace();
    const absl::Cleanup end_claim = [this, nonce = claimed.nonce] { finish_claim(nonce); };
    co_return co_await run(planned);
}

asio::awaitable<caller_connection::claim_result>
caller_connection::claim(const planned_request& planned)
{
    const auto executor = stream_.get_executor();
    const auto answer = std::make_shared<std::optional<claim_result>>();
    const auto ready = std::make_shared<asio::steady_timer>(executor);
    ready->expires_at(asio::steady_timer::time_point::max());
    services_.claim(planned, [executor, answer, ready](claims::claim_nonce nonce,
                                                       claims::claim_decision decision) {
        asio::post(executor, [answer, ready, nonce = std::move(nonce),
                              decision = std::move(decision)]() mutable {
            answer->emplace(claim_result{std::move(nonce), std::move(decision)});
            ready->cancel();
        });
    });
    while (!answer->has_value()) {
        co_await ready->async_wait(as_result);
    }
    co_return std::move(**answer);
}

// Records the end of a claimed call: as finished only after the complete response, as released only
// if it is known not to have run.
void caller_connection::finish_claim(const claims::claim_nonce& nonce)
{
    std::optional<claims::recorded_answer> answer;
    run_state ran = run_state::unknown;
    if (outcome_.reason == to_string(route::finish_reason::complete)) {
        answer = recorder_->recorded();
        ran = run_state::ran;
    }
    else if (!outcome_.reason.empty() && outcome_.ran == run_state::not_run) {
        ran = run_state::not_run;
    }
    recorder_.reset();
    services_.finish_claim(nonce, ran, std::move(answer));
}

asio::awaitable<caller_connection::next_step>
caller_connection::write_replay(const claims::recorded_answer& answer)
{
    outcome_.reason = "replayed";
    reply whole;
    whole.status = answer.status;
    whole.content_type = answer.content_type;
    whole.ran = run_state::ran;
    whole.headers = {{"Idempotent-Replayed", "true"}};
    whole.body = answer.body.value_or("");
    co_return co_await write_whole(whole);
}

asio::awaitable<bool> caller_connection::may_deliver()
{
    co_return reservation_ == nullptr || co_await reservation_->may_deliver();
}

void caller_connection::charge_prompt(const response_end& end, const planned_request& planned)
{
    if (reservation_ == nullptr || end.finish.ran == run_state::not_run) {
        return;
    }
    const bool counted = end.prompt_tokens > 0;
    reservation_->delivered(counted ? end.prompt_tokens : planned.run.prompt_tokens);
}

void caller_connection::begin_outcome(const caller_request& request)
{
    outcome_ = {};
    outcome_.request_id = request_id_;
    outcome_.began_at = std::chrono::system_clock::now();
    outcome_.began = steady_now();
    const auto traceparent = request.header("traceparent");
    outcome_.trace = services_.start_span(traceparent);
    if (const auto parent = telemetry::parse_traceparent(traceparent)) {
        outcome_.parent = parent->span;
    }
}

void caller_connection::record_end(const response_end& end)
{
    outcome_.reason = to_string(end.finish.reason);
    outcome_.ran = end.finish.ran;
    outcome_.prompt_tokens = end.prompt_tokens;
    outcome_.completion_tokens = end.completion_tokens;
}

asio::awaitable<caller_connection::next_step> caller_connection::run(const planned_request& planned)
{
    session_ = services_.make_session(stream_.get_executor(), planned);
    const absl::Cleanup release = [this] {
        stop_watching_.emit(asio::cancellation_type::terminal);
        session_->caller_disconnected();
        session_.reset();
    };
    if (!recorder_) {
        watch_for_close(session_);
    }
    session_->start();
    co_return co_await relay(*session_, planned);
}

asio::awaitable<caller_connection::next_step>
caller_connection::relay(request_session& session, const planned_request& planned)
{
    auto first = co_await session.next();
    outcome_.first_part = steady_now() - outcome_.began;
    if (const auto* end = std::get_if<response_end>(&first); end != nullptr && !is_complete(*end)) {
        co_return co_await write_end(*end);
    }
    if (!planned.is_completion()) {
        co_return co_await relay_body(session, planned, std::move(first));
    }
    if (planned.stream) {
        co_return co_await relay_tokens(session, planned, std::move(first));
    }
    co_return co_await collect_tokens(session, planned, std::move(first));
}

asio::awaitable<caller_connection::next_step>
caller_connection::relay_tokens(request_session& session, const planned_request& planned,
                                response_part first)
{
    reply head;
    head.content_type = "text/event-stream";
    head.ran = run_state::ran;
    head.headers = {{"Cache-Control", "no-store"},
                    {"Snipespar-Adapter", planned.run.adapter.str()}};
    if (!co_await write_head(head)) {
        co_return next_step::close;
    }
    const completion_writer writer(request_id_, planned.run.adapter.str(), planned.chat);
    auto part = std::move(first);
    while (const auto* token = std::get_if<response_token>(&part)) {
        const auto size = token->event.size();
        if (!co_await may_deliver() || !co_await write_chunk(event_text(token->event))) {
            co_return next_step::close;
        }
        reservation_->delivered(1);
        session.written(size);
        part = co_await session.next();
    }
    const auto& end = std::get<response_end>(part);
    record_end(end);
    charge_prompt(end, planned);
    if (!is_complete(end)) {
        // Without its closing event the stream cannot be mistaken for a complete response.
        co_await write_chunk(event_text(error_body(refusal_of(end))));
        co_await write_last_chunk();
        co_return next_step::close;
    }
    const std::string closing = event_text(writer.last_event(end)) + event_text("[DONE]");
    const bool written = co_await write_chunk(closing) && co_await write_last_chunk();
    co_return written&& keep_alive() ? next_step::read_again : next_step::close;
}

asio::awaitable<caller_connection::next_step>
caller_connection::collect_tokens(request_session& session, const planned_request& planned,
                                  response_part first)
{
    completion_writer writer(request_id_, planned.run.adapter.str(), planned.chat);
    std::uint64_t tokens = 0;
    auto part = std::move(first);
    while (const auto* token = std::get_if<response_token>(&part)) {
        writer.add(token->event);
        ++tokens;
        session.written(token->event.size());
        part = co_await session.next();
    }
    const auto& end = std::get<response_end>(part);
    record_end(end);
    charge_prompt(end, planned);
    if (!is_complete(end)) {
        co_return co_await write_end(end);
    }
    if (!co_await may_deliver()) {
        co_return next_step::close;
    }
    reservation_->delivered(tokens);
    reply whole;
    whole.content_type = "application/json";
    whole.ran = run_state::ran;
    whole.headers = {{"Snipespar-Adapter", planned.run.adapter.str()}};
    whole.body = writer.whole(end);
    co_return co_await write_whole(whole);
}

asio::awaitable<caller_connection::next_step>
caller_connection::relay_body(request_session& session, const planned_request& /*planned*/,
                              response_part first)
{
    reply head;
    head.ran = run_state::ran;
    if (auto* answered = std::get_if<response_start>(&first)) {
        head.status = answered->status;
        head.headers = std::move(answered->headers);
    }
    if (recorder_) {
        recorder_->begin(head.status, head.headers);
    }
    bool writable = co_await write_head(head);
    if (!writable && !recorder_) {
        co_return next_step::close;
    }
    auto part = co_await session.next();
    while (const auto* body = std::get_if<response_body>(&part)) {
        if (recorder_) {
            recorder_->add(body->bytes);
        }
        writable = writable && co_await write_chunk(body->bytes);
        if (!writable && !recorder_) {
            co_return next_step::close;
        }
        session.written(body->bytes.size());
        part = co_await session.next();
    }
    const auto& end = std::get<response_end>(part);
    record_end(end);
    if (!is_complete(end)) {
        co_return next_step::close; // The missing last chunk shows that the response is truncated.
    }
    const bool written = writable && co_await write_last_chunk();
    co_return written&& keep_alive() ? next_step::read_again : next_step::close;
}

asio::awaitable<caller_connection::next_step> caller_connection::write_end(const response_end& end)
{
    record_end(end);
    co_return co_await write_refusal(refusal_of(end));
}

asio::awaitable<caller_connection::next_step> caller_connection::write_refusal(const refusal& error)
{
    outcome_.reason = error.code;
    reply whole;
    whole.status = error.status;
    whole.content_type = "application/json";
    whole.ran = error.ran;
    whole.retry_after = error.retry_after;
    whole.body = error_body(error);
    co_return co_await write_whole(whole);
}

asio::awaitable<caller_connection::next_step> caller_connection::write_whole(const reply& whole)
{
    outcome_.status = whole.status;
    outcome_.ran = whole.ran;
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(whole.status));
    message.version(http_version);
    message.keep_alive(keep_alive());
    message.set("X-Request-Id", request_id_);
    message.set("Snipespar-Run", to_string(whole.ran));
    message.set(http::field::content_type, whole.content_type);
    for (const auto& field : whole.headers) {
        message.insert(field.name, field.value);
    }
    if (whole.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*whole.retry_after).count();
        message.set(http::field::retry_after, std::to_string(std::max<std::int64_t>(1, seconds)));
    }
    const auto size = whole.body.size();
    if (!head_only_) {
        message.body() = whole.body;
    }
    message.content_length(size);
    stream_.expires_after(write_timeout);
    const auto [error, written] = co_await http::async_write(stream_, message, as_result);
    co_return !error && keep_alive() ? next_step::read_again : next_step::close;
}

asio::awaitable<bool> caller_connection::write_head(const reply& head)
{
    outcome_.status = head.status;
    outcome_.ran = head.ran;
    if (!caller_accepts_chunked_) {
        caller_keeps_alive_ = false;
    }
    http::response<http::empty_body> message;
    message.result(static_cast<unsigned>(head.status));
    message.version(http_version);
    for (const auto& field : head.headers) {
        message.insert(field.name, field.value);
    }
    message.set("X-Request-Id", request_id_);
    message.set("Snipespar-Run", to_string(head.ran));
    if (!head.content_type.empty()) {
        message.set(http::field::content_type, head.content_type);
    }
    message.keep_alive(keep_alive());
    if (caller_accepts_chunked_ && !head_only_) {
        message.chunked(true);
    }
    http::response_serializer<http::empty_body> serializer(message);
    stream_.expires_after(write_timeout);
    const auto [error, written] = co_await http::async_write_header(stream_, serializer, as_result);
    co_return !error;
}

asio::awaitable<bool> caller_connection::write_chunk(std::string_view bytes)
{
    if (head_only_ || bytes.empty()) {
        co_return true;
    }
    stream_.expires_after(write_timeout);
    const asio::const_buffer data(bytes.data(), bytes.size());
    if (!caller_accepts_chunked_) {
        const auto [error, written] = co_await asio::async_write(stream_, data, as_result);
        co_return !error;
    }
    const auto [error, written] =
        co_await asio::async_write(stream_, http::make_chunk(data), as_result);
    co_return !error;
}

asio::awaitable<bool> caller_connection::write_last_chunk()
{
    if (head_only_ || !caller_accepts_chunked_) {
        co_return true;
    }
    stream_.expires_after(write_timeout);
    const auto [error, written] =
        co_await asio::async_write(stream_, http::make_chunk_last(), as_result);
    co_return !error;
}

void caller_connection::watch_for_close(const std::shared_ptr<request_session>& session)
{
    stream_.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::bind_cancellation_slot(
            stop_watching_.slot(), [self = shared_from_this(), session](const auto& error) {
                if (error) {
                    return;
                }
                std::array<char, 1> byte{};
                beast::error_code peek_error;
                self->stream_.socket().receive(asio::buffer(byte), asio::socket_base::message_peek,
                                               peek_error);
                if (peek_error) {
                    session->caller_disconnected();
                }
            }));
}

bool caller_connection::keep_alive() const
{
    return caller_keeps_alive_ && !services_.draining();
}

} // namespace snipespar::entry
