#include "session.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace service_stand_in {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_bytes = 16384;
constexpr std::uint64_t max_body_bytes = std::uint64_t{64} * 1024 * 1024;
constexpr std::string_view find_query = "?find=";

std::string head(unsigned status, std::size_t length)
{
    return fmt::format("HTTP/1.1 {} Answer\r\nContent-Type: application/json\r\n"
                       "Content-Length: {}\r\n\r\n",
                       status, length);
}

std::string echo(const http::request<http::string_body>& message, std::uint64_t number)
{
    json headers = json::object();
    for (const auto& field : message) {
        headers[std::string(field.name_string())] = std::string(field.value());
    }
    const json document{{"execution", number},
                        {"method", std::string(message.method_string())},
                        {"target", std::string(message.target())},
                        {"headers", std::move(headers)},
                        {"body", message.body()}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

session::session(asio::ip::tcp::socket socket, service& state)
    : socket_(std::move(socket)), service_(state)
{
}

asio::awaitable<void> session::serve()
{
    while (const auto message = co_await read()) {
        if (!co_await answer(*message) || !message->keep_alive()) {
            co_return;
        }
    }
}

asio::awaitable<std::optional<session::request>> session::read()
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes);
    parser.eager(true);
    while (!parser.is_done()) {
        boost::beast::error_code parse_error;
        const auto consumed_bytes = parser.put(buffer_.data(), parse_error);
        buffer_.consume(consumed_bytes);
        if (parse_error && parse_error != http::error::need_more) {
            co_return std::nullopt;
        }
        if (parser.is_done()) {
            break;
        }
        std::array<char, read_bytes> bytes{};
        const auto [error, size] = co_await socket_.async_read_some(asio::buffer(bytes), as_result);
        if (error) {
            co_return std::nullopt;
        }
        received_.append(bytes.data(), size);
        buffer_.commit(asio::buffer_copy(buffer_.prepare(size), asio::buffer(bytes, size)));
    }
    co_return parser.release();
}

asio::awaitable<bool> session::answer(const request& message)
{
    const auto bytes = std::exchange(received_, {});
    const std::string target(message.target());
    if (target == "/faults" && message.method() == http::verb::post) {
        const auto problem = service_.faults.replace(json::parse(message.body(), nullptr, false));
        co_return co_await send(problem ? 400 : 200,
                                json{{"problem", problem.value_or("")}}.dump());
    }
    if (target.starts_with("/record")) {
        const auto at = target.find(find_query);
        const auto find =
            at == std::string::npos ? std::string() : target.substr(at + find_query.size());
        co_return co_await send(200, service_.record.report(find));
    }
    service_.record.received(bytes);
    co_return co_await execute(message);
}

asio::awaitable<bool> session::execute(const request& message)
{
    const auto faults = service_.faults.take();
    co_await wait(faults.delay_before);
    if (faults.silent_before) {
        co_await wait_until_closed();
    }
    if (faults.close_before || faults.silent_before) {
        co_return false;
    }
    const auto number = service_.record.executed(std::string(message["X-Request-Id"]),
                                                 std::string(message["Idempotency-Key"]));
    co_await wait(faults.delay_after);
    if (faults.silent_after) {
        co_await wait_until_closed();
    }
    if (faults.close_after || faults.silent_after) {
        co_return false;
    }
    co_return co_await send_faulty(faults, echo(message, number));
}

asio::awaitable<void> session::wait(std::chrono::milliseconds time)
{
    if (time.count() > 0) {
        asio::steady_timer timer(socket_.get_executor(), time);
        co_await timer.async_wait(as_result);
    }
}

asio::awaitable<void> session::wait_until_closed()
{
    std::array<char, read_bytes> bytes{};
    boost::system::error_code error;
    while (!error) {
        std::size_t size = 0;
        std::tie(error, size) = co_await socket_.async_read_some(asio::buffer(bytes), as_result);
    }
}

asio::awaitable<bool> session::send_bytes(const std::string& bytes)
{
    const auto [error, size] = co_await asio::async_write(socket_, asio::buffer(bytes), as_result);
    co_return !error;
}

asio::awaitable<bool> session::send(unsigned status, const std::string& body)
{
    co_return co_await send_bytes(head(status, body.size()) + body);
}

asio::awaitable<bool> session::send_faulty(const fault_switches& faults, const std::string& body)
{
    if (faults.rubbish) {
        co_await send_bytes("\x01\x02rubbish that is not HTTP\r\n\r\n");
        co_return false;
    }
    if (faults.truncate) {
        co_await send_bytes(head(200, body.size()) + body.substr(0, body.size() / 2));
        co_return false;
    }
    if (faults.wrong_length) {
        co_await send_bytes(head(200, body.size() / 2) + body);
        co_return false;
    }
    co_return co_await send(faults.status.value_or(200), body);
}

} // namespace service_stand_in
