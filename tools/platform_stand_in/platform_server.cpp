#include "platform_server.h"

#include "base/json_reader.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/core.h>

namespace snipespar::stand_in {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t max_body_bytes = 2 * store::max_value_bytes;
constexpr std::string_view objects_path = "/objects/";

http::response<http::string_body> make_response(const http::request<http::string_body>& message,
                                                http::status status, std::string body)
{
    http::response<http::string_body> result(status, message.version());
    result.keep_alive(message.keep_alive());
    result.body() = std::move(body);
    result.prepare_payload();
    return result;
}

// Value of one query parameter, or an empty string.
std::string parameter(std::string_view target, std::string_view name)
{
    const auto query_start = target.find('?');
    if (query_start == std::string_view::npos) {
        return {};
    }
    const auto query = "&" + std::string(target.substr(query_start + 1));
    const auto found = query.find("&" + std::string(name) + "=");
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + name.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
}

std::uint64_t number(std::string text)
{
    std::erase(text, '"');
    std::uint64_t value = 0;
    return absl::SimpleAtoi(text, &value) ? value : 0;
}

// Decodes an HTTP request into an object call; nullopt if it is malformed.
std::optional<store::request> read_call(const http::request<http::string_body>& message)
{
    const std::string target(message.target());
    if (target.starts_with("/objects?")) {
        return store::list_objects{parameter(target, "prefix")};
    }
    const auto key = target.substr(objects_path.size(), target.find('?') - objects_path.size());
    const std::string if_match(message[http::field::if_match]);
    switch (message.method()) {
    case http::verb::get:
        if (target.find("?watch") != std::string::npos) {
            return store::watch_object{
                key, number(parameter(target, "from")),
                std::chrono::milliseconds(number(parameter(target, "wait_ms")))};
        }
        return store::get_object{key};
    case http::verb::put: {
        std::optional<store::revision> expected;
        if (!if_match.empty()) {
            expected = number(if_match);
        }
        else if (message[http::field::if_none_match] == "*") {
            expected = 0;
        }
        return store::put_object{key, message.body(), expected};
    }
    case http::verb::delete_:
        return store::erase_object{key, number(if_match)};
    default:
        return std::nullopt;
    }
}

http::status status_of(const store::object_reply& reply)
{
    switch (reply.status.code()) {
    case absl::StatusCode::kOk:
        return http::status::ok;
    case absl::StatusCode::kNotFound:
        return http::status::not_found;
    case absl::StatusCode::kAborted:
        return http::status::precondition_failed;
    case absl::StatusCode::kResourceExhausted:
        return http::status::too_many_requests;
    default:
        return http::status::payload_too_large;
    }
}

std::string list_body(const store::object_reply& reply)
{
    auto list = nlohmann::json::array();
    for (const auto& item : reply.objects) {
        list.push_back({{"key", item.key}, {"revision", item.revision}});
    }
    return nlohmann::json{{"objects", list}}.dump();
}

} // namespace

platform_server::platform_server(asio::io_context& context, platform_limits limits)
    : context_(context), limits_(limits), changed_(context, asio::steady_timer::time_point::max())
{
}

void platform_server::listen(std::uint16_t port)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    asio::co_spawn(context_, accept(asio::ip::tcp::acceptor(context_, endpoint)), asio::detached);
}

asio::awaitable<void> platform_server::accept(asio::ip::tcp::acceptor acceptor)
{
    const auto port = acceptor.local_endpoint().port();
    while (true) {
        auto [error, socket] = co_await acceptor.async_accept(as_result);
        if (!error) {
            asio::co_spawn(context_, serve(beast::tcp_stream(std::move(socket)), port),
                           asio::detached);
        }
    }
}

// Serves the requests of one connection in order; a lost response closes the connection.
asio::awaitable<void> platform_server::serve(beast::tcp_stream stream, std::uint16_t port)
{
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        const auto [read_error, count] =
            co_await http::async_read(stream, buffer, parser, as_result);
        if (read_error) {
            co_return;
        }
        const auto reply = co_await respond(parser.get(), port);
        if (!reply) {
            co_return;
        }
        const auto [write_error, written] = co_await http::async_write(stream, *reply, as_result);
        if (write_error || !reply->keep_alive()) {
            co_return;
        }
    }
}

asio::awaitable<platform_server::answer> platform_server::respond(const request& message,
                                                                  std::uint16_t port)
{
    const std::string target(message.target());
    if (target == "/faults" && message.method() == http::verb::post) {
        co_return set_faults(message);
    }
    if (target == "/stats") {
        co_return stats();
    }
    if (target.starts_with("/hosts/") && message.method() == http::verb::put) {
        co_return set_host(message);
    }
    if (cut_port_ == port) {
        co_return std::nullopt;
    }
    if (table_.faults().slow_ms != 0) {
        asio::steady_timer delay(context_, std::chrono::milliseconds(table_.faults().slow_ms));
        co_await delay.async_wait(as_result);
    }
    if (target == "/hosts") {
        co_return list_hosts();
    }
    if (target.starts_with("/objects")) {
        co_return co_await object_call(message);
    }
    co_return make_response(message, http::status::bad_request, "unknown path\n");
}

bool platform_server::is_over_rate(bool is_write)
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    if (second != second_) {
        second_ = second;
        writes_ = 0;
        reads_ = 0;
    }
    ++(is_write ? total_writes_ : total_reads_);
    const bool is_over =
        is_write ? ++writes_ > limits_.writes_per_s : ++reads_ > limits_.reads_per_s;
    refused_ += is_over ? 1 : 0;
    return is_over;
}

asio::awaitable<platform_server::answer> platform_server::object_call(const request& message)
{
    const auto call = read_call(message);
    if (!call) {
        co_return make_response(message, http::status::bad_request, "malformed call\n");
    }
    const bool is_write = message.method() != http::verb::get;
    if (is_over_rate(is_write)) {
        co_return make_response(message, http::status::too_many_requests, "");
    }
    const auto* watch_call = std::get_if<store::watch_object>(&*call);
    const auto reply = watch_call != nullptr ? co_await watch(*watch_call) : table_.perform(*call);
    if (is_write) {
        changed_.cancel();
    }
    if (absl::IsUnavailable(reply.status) || absl::IsUnknown(reply.status)) {
        co_return std::nullopt;
    }
    if (std::holds_alternative<store::list_objects>(*call)) {
        co_return make_response(message, http::status::ok, list_body(reply));
    }
    if (reply.status.ok() && reply.objects.empty()) {
        co_return make_response(message, http::status::no_content, "");
    }
    const auto body = reply.objects.empty() ? std::string() : reply.objects.front().value;
    auto result = make_response(message, status_of(reply), body);
    if (!reply.objects.empty()) {
        result.set(http::field::etag, fmt::format("\"{}\"", reply.objects.front().revision));
    }
    co_return result;
}

asio::awaitable<store::object_reply> platform_server::watch(store::watch_object call)
{
    const auto end = std::chrono::steady_clock::now() + call.wait;
    while (true) {
        auto reply = table_.perform(call);
        if (!reply.status.ok() || !reply.objects.empty() ||
            std::chrono::steady_clock::now() >= end) {
            co_return reply;
        }
        changed_.expires_at(asio::steady_timer::time_point::max());
        asio::steady_timer deadline(context_, end);
        deadline.async_wait([this](const auto& error) {
            if (!error) {
                changed_.cancel();
            }
        });
        co_await changed_.async_wait(as_result);
    }
}

platform_server::answer platform_server::list_hosts()
{
    if (is_over_rate(false)) {
        return response(http::status::too_many_requests, 11);
    }
    const auto reply = table_.perform(store::list_hosts{});
    if (!reply.status.ok()) {
        return std::nullopt;
    }
    auto list = nlohmann::json::array();
    for (const auto& item : reply.hosts) {
        list.push_back({{"host", item.host.str()},
                        {"failure_domain", item.failure_domain.str()},
                        {"address", item.address},
                        {"role", item.role},
                        {"leaving", item.leaving}});
    }
    response result(http::status::ok, 11);
    result.body() = nlohmann::json{{"hosts", list}}.dump();
    result.prepare_payload();
    return result;
}

// Sets or, with {"gone":true}, removes one host; the change becomes visible after the lag.
platform_server::response platform_server::set_host(const request& message)
{
    absl::Status status;
    const auto value = json_reader::parse(message.body(), status);
    const json_reader fields(value, "host", status);
    const host_id host(std::string(message.target()).substr(std::string_view("/hosts/").size()));
    std::erase_if(hosts_, [&](const auto& item) { return item.host == host; });
    if (status.ok() && !fields.has("gone")) {
        hosts_.push_back({host, failure_domain_id(fields.text("failure_domain")),
                          fields.text("address"), fields.text("role"),
                          fields.has("leaving") && fields.flag("leaving")});
    }
    if (!status.ok()) {
        return make_response(message, http::status::bad_request, std::string(status.message()));
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, limits_.host_lag);
    timer->async_wait([this, timer, hosts = hosts_](const auto&) { table_.set_hosts(hosts); });
    return make_response(message, http::status::ok, "");
}

platform_server::response platform_server::set_faults(const request& message)
{
    absl::Status status;
    const auto value = json_reader::parse(message.body(), status);
    const json_reader fields(value, "faults", status);
    const auto flag = [&](const char* name) { return fields.has(name) && fields.flag(name); };
    const auto count = [&](const char* name) {
        return fields.has(name) ? fields.integer<std::uint64_t>(name) : 0;
    };
    const platform_faults faults{flag("outage"), flag("drop_answers"), flag("stale_list"),
                                 count("refuse_every"), count("slow_ms")};
    const auto cut_port = count("cut_port");
    if (!status.ok()) {
        return make_response(message, http::status::bad_request, std::string(status.message()));
    }
    table_.set_faults(faults);
    cut_port_ = cut_port == 0 ? std::nullopt : std::optional(static_cast<std::uint16_t>(cut_port));
    changed_.cancel();
    return make_response(message, http::status::ok, "");
}

platform_server::response platform_server::stats() const
{
    response result(http::status::ok, 11);
    result.body() = nlohmann::json{
        {"calls", table_.calls()},
        {"reads", total_reads_},
        {"writes", total_writes_},
        {"refused",
         refused_}}.dump();
    result.prepare_payload();
    return result;
}

} // namespace snipespar::stand_in
