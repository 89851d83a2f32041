#include "worker.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <tuple>
#include <utility>

namespace users_platform_stand_in {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr int slow_factor = 10;
constexpr int events_before_trickle = 3;
constexpr int events_before_silence = 3;
constexpr int events_before_cut = 3;
constexpr std::size_t endless_block_bytes = 64UL * 1024;
// Ends what is endless if the peer reads all of it.
constexpr std::uint64_t max_endless_bytes = 1024ULL * 1024 * 1024;

std::string text(const request& message, const char* name)
{
    return std::string(message[name]);
}

std::string seal(const std::string& id, const std::string& request_id)
{
    return fmt::format("{}.{}", id, request_id);
}

bool is_slow_target(const request& message)
{
    return std::string(message.target()).find("/slow/") != std::string::npos;
}

} // namespace

worker::worker(asio::io_context& context, worker_options options)
    : context_(context), options_(std::move(options)),
      process_start_ms_(
          static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                         std::chrono::system_clock::now().time_since_epoch())
                                         .count()))
{
    if (options_.is_engine && !options_.is_empty) {
        models_.insert("base");
    }
}

asio::awaitable<bool> worker::handle(asio::ip::tcp::socket& socket, const request& message)
{
    finish_loads();
    const std::string target(message.target());
    if (target == "/report") {
        co_return co_await send(socket, message, report());
    }
    if (target == "/runs") {
        co_return co_await send(socket, message,
                                json_answer(200, json{{"runs", runs_},
                                                      {"overfull_orders", overfull_orders_},
                                                      {"requests_shed", requests_shed_},
                                                      {"endless_bytes", endless_bytes_},
                                                      {"endless_open", endless_open_}}
                                                     .dump()));
    }
    if (target == "/faults") {
        co_return co_await send(socket, message, set_faults(message));
    }
    if (target == "/order") {
        co_return co_await send(socket, message, order(message));
    }
    const auto expected = text(message, "Expect-Instance");
    if (!expected.empty() && expected != options_.id) {
        auto answer = json_answer(421, "");
        answer.set("Instance-Id", options_.id);
        co_return co_await send(socket, message, marked(std::move(answer)));
    }
    const auto now = std::chrono::steady_clock::now();
    if (now < shed_until_) {
        ++requests_shed_;
        auto answer = json_answer(503, "");
        answer.set("Not-Executed", "1");
        answer.set("Retry-After",
                   fmt::format("{:.3f}", std::chrono::duration<double>(shed_until_ - now).count()));
        co_return co_await send(socket, message, marked(std::move(answer)));
    }
    const auto model = text(message, "Model");
    if (!model.empty() && !is_resident(model)) {
        auto answer = json_answer(421, "");
        answer.set("Not-Executed", "1");
        co_return co_await send(socket, message, std::move(answer));
    }
    co_return co_await run(socket, message);
}

asio::awaitable<bool> worker::run(asio::ip::tcp::socket& socket, const request& message)
{
    json headers = json::object();
    for (const auto& field : message) {
        headers[std::string(field.name_string())] = std::string(field.value());
    }
    runs_.push_back({{"id", text(message, "Request-Id")},
                     {"target", std::string(message.target())},
                     {"body", message.body()},
                     {"headers", headers},
                     {"at_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::steady_clock::now().time_since_epoch())
                                   .count()}});
    // Flushed per run, so that the output survives a kill of the process.
    fmt::print("run {}\n", runs_.back().dump());
    std::fflush(stdout);
    if (!crash_on_.empty() && message.body().find(crash_on_) != std::string::npos) {
        asio::steady_timer pause(context_, crash_delay_);
        co_await pause.async_wait(as_result);
        std::_Exit(EXIT_FAILURE);
    }
    ++running_;
    bool is_open = true;
    if (repeats_refusal_ && !options_.is_engine) {
        const std::string refusal =
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(refusal), as_result);
    }
    if (!endless_.empty()) {
        co_await send_endless(socket, message);
        is_open = false;
    }
    else if (is_unframed_ && !options_.is_engine) {
        co_await send_unframed(socket, message);
        is_open = false;
    }
    else if (options_.is_engine) {
        is_open = co_await stream(socket, message);
    }
    else {
        asio::steady_timer pause(context_, options_.event_pause *
                                               (is_slow_target(message) ? slow_factor : 1));
        co_await pause.async_wait(as_result);
        if (silence_.count() > 0) {
            pause.expires_after(silence_);
            co_await pause.async_wait(as_result);
        }
        auto answer = json_answer(200, text(message, "Request-Id") + message.body());
        answer.body().resize(std::max(answer.body().size(), min_answer_bytes_), '.');
        answer.set("Response-Seal", seal(options_.id, text(message, "Request-Id")));
        if (fail_status_ != 0) {
            answer = json_answer(fail_status_, "{}");
        }
        answer = marked(std::move(answer));
        is_open = co_await send(socket, message, answer);
        if (repeats_answers_ && is_open) {
            // Late: the next request may be on its way on this connection.
            pause.expires_after(options_.event_pause);
            co_await pause.async_wait(as_result);
            is_open = co_await send(socket, message, std::move(answer));
        }
    }
    --running_;
    co_return is_open;
}

asio::awaitable<void> worker::send_endless(asio::ip::tcp::socket& socket, const request& message)
{
    const auto id = text(message, "Request-Id");
    const auto head = [&](const std::string& request_id, const std::string& rest) {
        return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: {}\r\n{}",
                           request_id, seal(options_.id, request_id), rest);
    };
    const std::string filler(endless_block_bytes, 'x');
    std::string first = head(id, "\r\n");
    std::string block = filler;
    if (endless_ == "head") {
        first = head(id, "");
        block = "X-Fill: " + filler + "\r\n";
    }
    else if (endless_ == "rubbish") {
        first.clear();
    }
    else if (endless_ == "interim") {
        first.clear();
        block.clear();
        while (block.size() < endless_block_bytes) {
            block += "HTTP/1.1 100 Continue\r\n\r\n";
        }
    }
    else if (endless_ == "stale") {
        first = head("another", "\r\n");
    }
    else if (endless_ == "event") {
        first = head(id, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ");
    }
    else if (endless_ == "chunk") {
        first = head(id, "Transfer-Encoding: chunked\r\n\r\n1;");
    }
    ++endless_open_;
    auto [error, count] = co_await asio::async_write(socket, asio::buffer(first), as_result);
    while (!error && endless_bytes_ < max_endless_bytes) {
        const auto [block_error, sent] =
            co_await asio::async_write(socket, asio::buffer(block), as_result);
        endless_bytes_ += sent;
        error = block_error;
    }
    --endless_open_;
}

// Sends an answer without a length, which ends with its connection.
asio::awaitable<void> worker::send_unframed(asio::ip::tcp::socket& socket, const request& message)
{
    const auto id = text(message, "Request-Id");
    std::string bytes = fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: {}\r\n"
                                    "Connection: close\r\n\r\n{}{}",
                                    id, seal(options_.id, id), id, message.body());
    if (resets_in_body_) {
        bytes.pop_back();
    }
    std::ignore = co_await asio::async_write(socket, asio::buffer(bytes), as_result);
    if (resets_in_body_) {
        // The peer has read what it got before the reset arrives.
        asio::steady_timer pause(context_, options_.event_pause);
        co_await pause.async_wait(as_result);
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }
}

asio::awaitable<bool> worker::stream(asio::ip::tcp::socket& socket, const request& message)
{
    const auto id = text(message, "Request-Id");
    const auto after = text(message, "Last-Event-Id");
    int number = after.empty() ? 1 : std::stoi(after) + 1;
    if (!after.empty() && !resumption_.empty()) {
        const auto answer = fmt::format(fmt::runtime(resumption_), id);
        std::ignore = co_await asio::async_write(socket, asio::buffer(answer), as_result);
        co_return false;
    }
    std::string bytes =
        fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: {}\r\n"
                    "Content-Type: text/event-stream\r\n{}{}{}\r\n",
                    id, seal(options_.id, id), is_leaving_ ? "Server-Leaving: 1\r\n" : "",
                    rate_limit_ > 0 ? fmt::format("Server-Limit: {}\r\n", rate_limit_) : "",
                    is_unframed_ ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n");
    const auto events = options_.events * (is_slow_target(message) ? slow_factor : 1);
    const auto mark = options_.software.empty() ? std::string() : " " + options_.software;
    asio::steady_timer pause(context_);
    for (; number <= events; ++number) {
        const bool is_stalled = trickles_ && number > events_before_trickle;
        const auto event = is_stalled
                               ? std::string(":")
                               : fmt::format("id: {}\ndata: {} {}{}\n\n", number, id, number, mark);
        const bool is_cut = is_unframed_ && cuts_in_event_ && number > events_before_cut;
        if (is_cut) {
            bytes += event.substr(0, event.size() / 2);
        }
        else {
            bytes += is_unframed_ ? event : fmt::format("{:x}\r\n{}\r\n", event.size(), event);
        }
        const auto [error, count] =
            co_await asio::async_write(socket, asio::buffer(bytes), as_result);
        if (error || is_cut) {
            co_return false;
        }
        bytes.clear();
        if (!crash_on_part_.empty() &&
            text(message, "Prompt-Prefix").find(crash_on_part_ + ":") != std::string::npos) {
            std::_Exit(EXIT_FAILURE);
        }
        // A stalled stream never ends.
        number -= is_stalled ? 1 : 0;
        const bool falls_silent = number == events_before_silence && silence_.count() > 0;
        pause.expires_after(falls_silent ? silence_ : options_.event_pause);
        co_await pause.async_wait(as_result);
    }
    if (is_unframed_) {
        co_return false;
    }
    bytes += "0\r\n\r\n";
    const auto [error, count] = co_await asio::async_write(socket, asio::buffer(bytes), as_result);
    co_return !error && message.keep_alive();
}

bool worker::is_resident(const std::string& model) const
{
    return model.find('/') == std::string::npos ? models_.contains(model)
                                                : adapters_.contains(model);
}

void worker::finish_loads()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(loading_, [&](const auto& item) {
        if (item.second <= now) {
            adapters_.insert(item.first);
        }
        return item.second <= now;
    });
}

response worker::report() const
{
    json models = json::array();
    for (const auto& model : models_) {
        json adapters = json::array();
        for (const auto& name : adapters_) {
            adapters.push_back(name.substr(model.size() + 1) + "@1");
        }
        models.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
    }
    json loading = json::array();
    for (const auto& [name, when] : loading_) {
        loading.push_back(name + "@1");
    }
    return json_answer(200, json{{"stage", "both"},
                                 {"models", models},
                                 {"busy", false},
                                 {"seq", orders_},
                                 {"waiting", 0},
                                 {"running", running_},
                                 {"kv_used", 0},
                                 {"kv_total", 100000},
                                 {"handles", 0},
                                 {"coming", loading},
                                 {"born", process_start_ms_}}
                                .dump());
}

response worker::set_faults(const request& message)
{
    const auto body = json::parse(message.body(), nullptr, false);
    if (!body.is_object()) {
        return json_answer(400, "{}");
    }
    is_leaving_ = body.value("leaving", is_leaving_);
    crash_on_ = body.value("crash_on", crash_on_);
    crash_delay_ =
        std::chrono::milliseconds(body.value("crash_after_ms", std::int64_t{crash_delay_.count()}));
    is_unframed_ = body.value("unframed", is_unframed_);
    cuts_in_event_ = body.value("cut_in_event", cuts_in_event_);
    resets_in_body_ = body.value("reset_in_body", resets_in_body_);
    endless_ = body.value("endless", endless_);
    resumption_ = body.value("resumption", resumption_);
    crash_on_part_ = body.value("crash_on_part", crash_on_part_);
    rate_limit_ = body.value("rate_limit", rate_limit_);
    stated_load_ = body.value("stated_load", stated_load_);
    trickles_ = body.value("trickle", trickles_);
    repeats_answers_ = body.value("repeat_answers", repeats_answers_);
    repeats_refusal_ = body.value("repeat_refusal", repeats_refusal_);
    fail_status_ = body.value("fail_status", fail_status_);
    silence_ = std::chrono::milliseconds(body.value("pause_ms", std::int64_t{silence_.count()}));
    min_answer_bytes_ = body.value("answer_bytes", min_answer_bytes_);
    shed_until_ = std::chrono::steady_clock::now() +
                  std::chrono::milliseconds(body.value("shed_ms", std::int64_t{0}));
    return json_answer(200, "{}");
}

response worker::marked(response answer) const
{
    if (is_leaving_) {
        answer.set("Server-Leaving", "1");
    }
    if (rate_limit_ > 0) {
        answer.set("Server-Limit", fmt::format("{}", rate_limit_));
    }
    if (!stated_load_.empty()) {
        answer.set("Backend-Load", stated_load_);
    }
    return answer;
}

response worker::order(const request& message)
{
    const auto body = json::parse(message.body(), nullptr, false);
    if (!body.is_object() || body.value("expect", std::uint64_t{0}) != orders_) {
        return json_answer(409, "{}");
    }
    ++orders_;
    const auto model = body.value("model", std::string());
    const auto adapter = body.value("adapter", std::string());
    const auto name = model + "/" + adapter;
    if (body.value("operation", std::string()) == "unload") {
        adapters_.erase(name);
        return json_answer(200, "{}");
    }
    if (adapter.empty()) {
        models_.insert(model);
        return json_answer(202, "{}");
    }
    loading_[name] = std::chrono::steady_clock::now() + options_.load_time;
    if (adapters_.size() + loading_.size() > static_cast<std::size_t>(options_.adapter_slots)) {
        ++overfull_orders_;
        fmt::print("overfull {}\n", name);
        std::fflush(stdout);
    }
    return json_answer(202, "{}");
}

} // namespace users_platform_stand_in
