#include "agent/upstream_call.h"

#include "base/json_reader.h"
#include "net/event_stream_parser.h"
#include "net/response_reader.h"
#include "telemetry/spawn_task.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace snipespar::agent {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr int http_version = 11;
constexpr std::size_t read_bytes = 16384;
constexpr std::size_t max_event_bytes = 1U << 20U;
constexpr std::string_view end_of_stream = "[DONE]";

std::uint64_t unsigned_at(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

// Returns the caller's body with the fields that the agent sets for the engine.
std::string engine_body(const link::run_request& request)
{
    absl::Status malformed;
    json body = json_reader::parse(request.body, malformed);
    if (!body.is_object()) {
        body = json::object();
    }
    body["model"] = request.adapter.str();
    body["stream"] = true;
    body["max_tokens"] = request.max_tokens;
    body["request_id"] = request.request_id;
    if (request.resume_from > 0) {
        body["resume_from"] = request.resume_from;
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

http::request<http::string_body> make_request(const link::run_request& request)
{
    http::request<http::string_body> message;
    message.version(http_version);
    message.method_string(request.method);
    message.target(request.path);
    for (const auto& field : request.headers) {
        message.insert(field.name, field.value);
    }
    message.set(http::field::connection, "close");
    message.set("X-Request-Id", request.request_id);
    if (!request.traceparent.empty()) {
        message.set("traceparent", request.traceparent);
    }
    if (request.adapter.adapter.empty()) {
        message.body() = request.body;
    }
    else {
        message.set(http::field::content_type, "application/json");
        message.body() = engine_body(request);
    }
    message.prepare_payload();
    return message;
}

// Classifies a failed read: timeout, connection closed early, or a response that is not HTTP.
const char* read_failure(const beast::error_code& error)
{
    if (error == beast::error::timeout) {
        return "upstream_silent";
    }
    const bool is_http_error =
        error.category() == beast::error_code(http::error::bad_method).category();
    const bool ended_early =
        error == http::error::end_of_stream || error == http::error::partial_message;
    return is_http_error && !ended_early ? "upstream_bad_answer" : "upstream_closed";
}

bool is_hop_by_hop(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
        return true;
    default:
        return false;
    }
}

} // namespace

upstream_call::upstream_call(const asio::any_io_executor& executor, upstream_address upstream,
                             link::run_request request, std::string software, emit_function emit)
    : stream_(executor), window_changed_(executor), upstream_(std::move(upstream)),
      request_(std::move(request)), software_(std::move(software)), emit_(std::move(emit)),
      window_(request_.window_bytes), next_token_(request_.resume_from)
{
    window_changed_.expires_at(asio::steady_timer::time_point::max());
}

void upstream_call::start(finished_function finished)
{
    telemetry::spawn_task(
        stream_.get_executor(), telemetry::logger(), "upstream_call",
        [self = shared_from_this(), finished = std::move(finished)]() -> asio::awaitable<void> {
            co_await self->run();
            finished();
        });
}

void upstream_call::add_window(std::uint64_t bytes)
{
    window_ += bytes;
    window_changed_.cancel();
}

void upstream_call::cancel()
{
    cancelled_ = true;
    stream_.close();
    window_changed_.cancel();
}

asio::awaitable<void> upstream_call::run()
{
    if (request_.resume_from > 0 && request_.software != software_) {
        emit(link::refused{request_.stream, "other_software", 0});
        ended_ = true;
    }
    else if (co_await connect()) {
        co_await exchange();
    }
    stream_.close();
}

asio::awaitable<bool> upstream_call::connect()
{
    constexpr std::uint64_t reconnect_ms = 500;
    beast::error_code error;
    const auto ip = asio::ip::make_address(upstream_.ip, error);
    if (!error) {
        stream_.expires_after(upstream_.connect_timeout);
        std::tie(error) =
            co_await stream_.async_connect(asio::ip::tcp::endpoint(ip, upstream_.port), as_result);
    }
    if (error) {
        emit(link::refused{request_.stream, "upstream_unreachable", reconnect_ms});
        ended_ = true;
        co_return false;
    }
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return !cancelled_;
}

asio::awaitable<void> upstream_call::exchange()
{
    const auto message = make_request(request_);
    emit(link::started{request_.stream, software_});
    started_ = true;
    stream_.expires_after(upstream_.progress_timeout);
    const auto [write_error, written] = co_await http::async_write(stream_, message, as_result);
    if (write_error) {
        fail("upstream_closed");
        co_return;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    parser.skip(message.method() == http::verb::head);
    net::response_reader reader(stream_, buffer, parser);
    if (const auto read_error = co_await reader.read_head(); read_error) {
        fail(read_failure(read_error));
        co_return;
    }

    // Reads the body through the parser that has read the header.
    struct {
        net::response_reader& reader;
        http::response_parser<http::buffer_body>& parser;
    } source{reader, parser};
    if (is_engine_call()) {
        co_await read_tokens(source);
    }
    else {
        co_await read_body(source);
    }
}

template <class Source>
asio::awaitable<std::string> upstream_call::read_some(Source& source)
{
    std::string chunk(read_bytes, '\0');
    auto& body = source.parser.get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    stream_.expires_after(upstream_.progress_timeout);
    const auto error = co_await source.reader.read_some();
    chunk.resize(chunk.size() - body.size);
    if (error && error != http::error::need_buffer) {
        fail(read_failure(error));
    }
    co_return chunk;
}

template <class Source>
asio::awaitable<void> upstream_call::read_tokens(Source& source)
{
    if (source.parser.get().result() != http::status::ok) {
        fail("upstream_status_" + std::to_string(source.parser.get().result_int()));
        co_return;
    }
    net::event_stream_parser events;
    while (!ended_ && !source.parser.is_done()) {
        const auto chunk = co_await read_some(source);
        if (ended_) {
            co_return;
        }
        for (const auto& event : events.feed(chunk)) {
            if (!handle_event(event)) {
                fail("upstream_bad_answer");
                co_return;
            }
        }
        if (events.pending_bytes() > max_event_bytes) {
            fail("upstream_bad_answer");
        }
        co_await wait_for_window();
    }
    if (!ended_ && !end_seen_) {
        fail("upstream_truncated");
    }
    if (!ended_) {
        emit(link::done{request_.stream, next_token_, prompt_tokens_, finish_reason_,
                        request_.adapter.str()});
        ended_ = true;
    }
}

bool upstream_call::handle_event(const std::string& event)
{
    if (event == end_of_stream) {
        end_seen_ = true;
        return true;
    }
    absl::Status malformed;
    const json value = json_reader::parse(event, malformed);
    if (!value.is_object() || end_seen_) {
        return false;
    }
    const auto model = value.find("model");
    if (model == value.end() || *model != request_.adapter.str()) {
        return false;
    }
    if (const auto usage = value.find("usage"); usage != value.end() && usage->is_object()) {
        prompt_tokens_ = unsigned_at(*usage, "prompt_tokens");
    }
    const auto choices = value.find("choices");
    if (choices != value.end() && choices->is_array() && !choices->empty()) {
        const auto reason = choices->front().find("finish_reason");
        if (reason != choices->front().end() && reason->is_string()) {
            finish_reason_ = reason->get<std::string>();
        }
    }
    if (!value.contains("token_index")) {
        return true;
    }
    const auto index = unsigned_at(value, "token_index");
    if (index < next_token_) {
        return true; // A resuming engine may repeat tokens that were already delivered.
    }
    if (index > next_token_) {
        return false;
    }
    emit(link::token{request_.stream, index, 1, event});
    consume_window(event.size());
    ++next_token_;
    return true;
}

template <class Source>
asio::awaitable<void> upstream_call::read_body(Source& source)
{
    const auto& head = source.parser.get();
    link::response_head forwarded{request_.stream, head.result_int(), {}};
    for (const auto& field : head.base()) {
        if (!is_hop_by_hop(field.name())) {
            forwarded.headers.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
    }
    emit(forwarded);
    std::uint64_t offset = 0;
    while (!ended_ && !source.parser.is_done()) {
        auto chunk = co_await read_some(source);
        if (ended_) {
            co_return;
        }
        const auto size = chunk.size();
        if (size > 0) {
            emit(link::body_chunk{request_.stream, offset, std::move(chunk)});
            offset += size;
            consume_window(size);
        }
        co_await wait_for_window();
    }
    if (!ended_) {
        emit(link::done{request_.stream, offset, 0, "", ""});
        ended_ = true;
    }
}

asio::awaitable<void> upstream_call::wait_for_window()
{
    while (window_ == 0 && !cancelled_ && !ended_) {
        co_await window_changed_.async_wait(as_result);
    }
}

void upstream_call::consume_window(std::uint64_t bytes)
{
    window_ -= std::min(window_, bytes);
}

void upstream_call::emit(const link::frame& message)
{
    if (!cancelled_ && !ended_) {
        emit_(message);
    }
}

void upstream_call::fail(std::string reason)
{
    if (!ended_) {
        emit(link::failed{request_.stream, run_state::unknown, std::move(reason), 0});
        ended_ = true;
    }
}

} // namespace snipespar::agent
