#include "session.h"

#include "engine.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>

namespace engine_stand_in {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr std::uint64_t max_body_bytes = std::uint64_t{16} * 1024 * 1024;
constexpr int crash_exit_code = 70;
constexpr std::string_view stream_header = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n";

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

json error_body(std::string_view message)
{
    return {{"error", {{"message", message}}}};
}

std::uint64_t fencing_number(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string lora_name(const std::string& body)
{
    const json order = json::parse(body, nullptr, false);
    return order.is_object() ? order.value("lora_name", std::string{}) : std::string{};
}

// Percent-decoded value of a query parameter; empty when it is absent.
std::string query_value(std::string_view target, std::string_view name)
{
    const auto start = target.find(fmt::format("{}=", name));
    if (start == std::string_view::npos) {
        return {};
    }
    const std::string_view raw = target.substr(start + name.size() + 1);
    std::string value;
    for (std::size_t i = 0; i < raw.size() && raw[i] != '&'; ++i) {
        constexpr std::size_t escape_digits = 2;
        unsigned code = 0;
        const bool escaped = raw[i] == '%' && i + escape_digits < raw.size();
        if (escaped) {
            const char* digits = raw.data() + i + 1;
            std::from_chars(digits, digits + escape_digits, code, 16);
            i += escape_digits;
        }
        value += escaped ? static_cast<char>(code) : raw[i];
    }
    return value;
}

std::string_view refusal_text(order_outcome outcome)
{
    switch (outcome) {
    case order_outcome::no_free_slot:
        return "no free adapter slot";
    case order_outcome::in_progress:
        return "the adapter is being loaded";
    case order_outcome::old_fencing_number:
        return "old fencing number";
    case order_outcome::accepted:
    case order_outcome::already_done:
        break;
    }
    return "";
}

} // namespace

session::session(asio::ip::tcp::socket socket, engine& state)
    : socket_(std::move(socket)), engine_(state)
{
}

asio::awaitable<void> session::serve()
{
    while (keep_alive_) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        const auto [error, size] = co_await http::async_read(socket_, buffer_, parser, as_result);
        if (error) {
            co_return;
        }
        const request message = parser.release();
        std::ostringstream bytes;
        bytes << message;
        // A query of the record must not match itself.
        if (!message.target().starts_with("/record")) {
            engine_.record().received(bytes.str());
        }
        keep_alive_ = message.keep_alive();
        if (!co_await answer(message)) {
            co_return;
        }
    }
}

asio::awaitable<bool> session::answer(const request& message)
{
    const std::string_view target(message.target().data(), message.target().size());
    const std::string_view path = target.substr(0, target.find('?'));
    const bool post = message.method() == http::verb::post;
    if (post && path == "/v1/completions") {
        return answer_completion(message, false);
    }
    if (post && path == "/v1/chat/completions") {
        return answer_completion(message, true);
    }
    if (post && path == "/v1/load_lora_adapter") {
        return answer_load(message);
    }
    if (post && path == "/v1/unload_lora_adapter") {
        return answer_unload(message);
    }
    if (post && path == "/faults") {
        return answer_faults(message);
    }
    if (path == "/record") {
        return answer_record(message);
    }
    if (path == "/load") {
        return send_body(status::ok, "application/json", engine_.load_report());
    }
    if (path == "/health") {
        return send_json(status::ok, json::object());
    }
    if (path == "/v1/models") {
        json models = json::array();
        for (const auto& name : engine_.slots().loaded()) {
            models.push_back({{"id", name}, {"object", "model"}});
        }
        return send_json(status::ok, {{"object", "list"}, {"data", std::move(models)}});
    }
    return send_json(status::not_found, error_body("no such path"));
}

asio::awaitable<bool> session::answer_load(const request& message)
{
    const std::string name = lora_name(message.body());
    if (name.empty()) {
        co_return co_await send_json(status::bad_request, error_body("lora_name is missing"));
    }
    const auto number = fencing_number(std::string_view(message["X-Fencing-Number"]));
    const auto outcome = engine_.slots().begin_load(name, number);
    if (outcome == order_outcome::already_done) {
        co_return co_await send_json(status::ok, {{"loaded", name}});
    }
    if (outcome != order_outcome::accepted) {
        engine_.record().order_refused();
        co_return co_await send_json(status::conflict, error_body(refusal_text(outcome)));
    }
    auto& faults = engine_.faults();
    const bool fails = faults.fail_loads > 0;
    faults.fail_loads -= fails ? 1 : 0;
    const auto incarnation = engine_.incarnation();
    co_await pause(engine_.load_time());
    const bool loaded = !fails && incarnation == engine_.incarnation();
    if (incarnation == engine_.incarnation()) {
        engine_.slots().end_load(name, loaded);
    }
    engine_.record().load_ended(name, loaded);
    if (!loaded) {
        co_return co_await send_json(status::internal_server_error, error_body("load failed"));
    }
    co_return co_await send_json(status::ok, {{"loaded", name}});
}

asio::awaitable<bool> session::answer_unload(const request& message)
{
    const std::string name = lora_name(message.body());
    const auto number = fencing_number(std::string_view(message["X-Fencing-Number"]));
    const bool while_running = engine_.queue().runs(name);
    const auto outcome = engine_.slots().unload(name, number);
    if (outcome == order_outcome::old_fencing_number) {
        engine_.record().order_refused();
        co_return co_await send_json(status::conflict, error_body(refusal_text(outcome)));
    }
    if (outcome == order_outcome::accepted) {
        engine_.record().unloaded(name, while_running);
    }
    co_return co_await send_json(status::ok, {{"unloaded", name}});
}

asio::awaitable<bool> session::answer_faults(const request& message)
{
    const json change = json::parse(message.body(), nullptr, false);
    if (const auto fault = engine_.faults().apply(change)) {
        co_return co_await send_json(status::bad_request, error_body(*fault));
    }
    if (change.contains("cold_restart")) {
        engine_.cold_restart();
    }
    co_return co_await send_json(status::ok, json::object());
}

asio::awaitable<bool> session::answer_record(const request& message)
{
    json body = engine_.record().to_json();
    const std::string_view target(message.target().data(), message.target().size());
    const std::string text = query_value(target, "find");
    if (!text.empty()) {
        body["found"] = engine_.record().contains(text);
    }
    co_return co_await send_json(status::ok, body);
}

asio::awaitable<bool> session::answer_completion(const request& message, bool chat)
{
    using namespace asio::experimental::awaitable_operators;
    auto call = completion_call::parse(message.body(), chat);
    if (!call) {
        co_return co_await send_json(status::bad_request, error_body("malformed call"));
    }
    if (!engine_.slots().is_resident(call->model)) {
        co_return co_await send_json(status::not_found, error_body("no such model"));
    }
    const auto result = co_await (generate(std::move(*call)) || peer_closed());
    co_return result.index() == 0 && std::get<0>(result);
}

asio::awaitable<bool> session::generate(completion_call call)
{
    const auto ticket = co_await engine_.queue().admit(call.model, call.priority);
    engine_.record().running_changed(engine_.queue().running());
    if (!engine_.slots().is_resident(call.model)) {
        co_return co_await send_json(status::not_found, error_body("no such model"));
    }
    engine_.record().run_started(call.request_id, call.model);
    fault_switches faults = engine_.faults().take_run();
    if (faults.rubbish) {
        co_return co_await send_body(status::ok, "text/event-stream", "\x01{]rubbish");
    }
    co_await pause(engine_.options().prompt_token_time * call.prompt_tokens());
    if (call.stream && !co_await send_raw(std::string(stream_header))) {
        co_return false;
    }
    text_.clear();
    if (!co_await generate_tokens(call, faults)) {
        co_return false;
    }
    engine_.record().run_finished(call.request_id);
    co_return co_await finish(call, faults.echo.empty() ? call.model : faults.echo);
}

asio::awaitable<bool> session::generate_tokens(const completion_call& call, fault_switches& faults)
{
    const auto incarnation = engine_.incarnation();
    const std::string echo = faults.echo.empty() ? call.model : faults.echo;
    const bool crash_requested =
        !faults.crash_on.empty() && call.prompt.find(faults.crash_on) != std::string::npos;
    for (std::uint32_t index = call.resume_from; index < call.max_tokens; ++index) {
        const std::uint32_t sent = index - call.resume_from;
        if (crash_requested && sent >= faults.crash_after) {
            std::_Exit(crash_exit_code);
        }
        if (faults.truncate_after == sent) {
            co_return faults.clean_truncation&& co_await send_raw("0\r\n\r\n");
        }
        if (faults.silent_after == sent) {
            co_await pause(std::chrono::hours(1));
        }
        co_await pause(engine_.options().token_time);
        if (faults.delay_token == index) {
            co_await pause(faults.delay);
        }
        const bool cold_restarted = incarnation != engine_.incarnation();
        if (cold_restarted || !engine_.slots().is_resident(call.model)) {
            co_return false;
        }
        const int copies = faults.duplicate_token == index ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (!co_await send_token(call, echo, index)) {
                co_return false;
            }
        }
    }
    co_return true;
}

asio::awaitable<bool> session::send_token(const completion_call& call, const std::string& echo,
                                          std::uint32_t index)
{
    const std::string text =
        token_text(call.model, call.prompt, index) + engine_.options().software;
    if (!call.stream) {
        text_ += text;
        co_return true;
    }
    json choice = {{"index", 0}};
    if (call.chat) {
        choice["delta"] = {{"content", text}};
    }
    else {
        choice["text"] = text;
    }
    const json event = {
        {"id", call.request_id},
        {"model", echo},
        {"choices", json::array({std::move(choice)})},
        {"token_index", index},
    };
    co_return co_await send_event(event.dump());
}

asio::awaitable<bool> session::finish(const completion_call& call, const std::string& echo)
{
    const std::uint32_t first = std::min(call.resume_from, call.max_tokens);
    json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (call.chat) {
        choice[call.stream ? "delta" : "message"] = {{"role", "assistant"}, {"content", text_}};
    }
    else {
        choice["text"] = text_;
    }
    const json body = {
        {"id", call.request_id},
        {"model", echo},
        {"choices", json::array({std::move(choice)})},
        {"usage",
         {{"prompt_tokens", call.prompt_tokens()}, {"completion_tokens", call.max_tokens - first}}},
    };
    if (!call.stream) {
        co_return co_await send_json(status::ok, body);
    }
    const bool sent = co_await send_event(body.dump()) && co_await send_event("[DONE]");
    co_return sent&& co_await send_raw("0\r\n\r\n") && keep_alive_;
}

asio::awaitable<void> session::peer_closed()
{
    co_await socket_.async_wait(asio::ip::tcp::socket::wait_read, as_result);
    boost::system::error_code error;
    const bool has_data = socket_.available(error) > 0 && !error;
    if (has_data) {
        // The next request has already arrived, so a close can no longer be detected.
        co_await pause(std::chrono::hours(1));
    }
}

asio::awaitable<bool> session::send_json(status code, const json& body)
{
    return send_body(code, "application/json", body.dump());
}

asio::awaitable<bool> session::send_body(status code, std::string type, std::string body)
{
    http::response<http::string_body> response(code, 11);
    response.set(http::field::content_type, type);
    response.keep_alive(keep_alive_);
    response.body() = std::move(body);
    response.prepare_payload();
    const auto [error, size] = co_await http::async_write(socket_, response, as_result);
    co_return !error && keep_alive_;
}

asio::awaitable<bool> session::send_raw(const std::string& bytes)
{
    const auto [error, size] = co_await asio::async_write(socket_, asio::buffer(bytes), as_result);
    co_return !error;
}

asio::awaitable<bool> session::send_event(const std::string& data)
{
    const std::string event = fmt::format("data: {}\n\n", data);
    const std::string chunk = fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    co_return co_await send_raw(chunk);
}

asio::awaitable<void> session::pause(std::chrono::microseconds time)
{
    if (time <= std::chrono::microseconds::zero()) {
        co_return;
    }
    asio::steady_timer timer(socket_.get_executor(), time);
    co_await timer.async_wait(as_result);
}

} // namespace engine_stand_in
