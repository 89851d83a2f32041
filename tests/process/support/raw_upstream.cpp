#include "process/support/raw_upstream.h"

#include "process/support/free_port.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string_view>
#include <utility>

namespace snipespar::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

// Lets the packets of an answer arrive one by one.
constexpr auto part_pause = std::chrono::milliseconds(20);
constexpr auto late_reset_pause = std::chrono::milliseconds(200);

// Value of a field of the head; empty without one.
std::string field(const std::string& head, std::string_view name)
{
    const auto start = head.find("\r\n" + std::string(name) + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const auto begin = start + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string with_id(std::string text, const std::string& id)
{
    constexpr std::string_view mark = "{id}";
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at)) {
        text.replace(at, mark.size(), id);
    }
    return text;
}

void end_connection(tcp::socket& connection, raw_answer::end end)
{
    boost::system::error_code ignored;
    if (end == raw_answer::end::in_order_then_reset) {
        connection.shutdown(tcp::socket::shutdown_send, ignored);
    }
    if (end != raw_answer::end::in_order) {
        connection.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    connection.close(ignored);
}

} // namespace

raw_upstream::raw_upstream(raw_answer answer)
    : acceptor_(context_), address_(free_address()), answer_(std::move(answer))
{
    const tcp::endpoint local(asio::ip::make_address(address_.ip), address_.port);
    acceptor_.open(local.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen();
    asio::co_spawn(context_, accept(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
}

raw_upstream::~raw_upstream()
{
    context_.stop();
    thread_.join();
}

void raw_upstream::set_answer(raw_answer answer)
{
    const std::lock_guard lock(mutex_);
    answer_ = std::move(answer);
}

raw_answer raw_upstream::answer() const
{
    const std::lock_guard lock(mutex_);
    return answer_;
}

asio::awaitable<void> raw_upstream::accept()
{
    while (true) {
        auto [error, connection] = co_await acceptor_.async_accept(as_result);
        if (!error) {
            asio::co_spawn(context_, serve(std::move(connection)), asio::detached);
        }
    }
}

asio::awaitable<void> raw_upstream::serve(tcp::socket connection)
{
    std::string input;
    while (true) {
        const auto [error, size] = co_await asio::async_read_until(
            connection, asio::dynamic_buffer(input), "\r\n\r\n", as_result);
        if (error) {
            co_return;
        }
        const auto head = input.substr(0, size);
        input.erase(0, size);
        ++requests_;
        const auto reply = answer();
        for (const auto& part : reply.parts) {
            const auto bytes = with_id(part, field(head, "Request-Id"));
            if (const auto [write_error, written] =
                    co_await asio::async_write(connection, asio::buffer(bytes), as_result);
                write_error) {
                co_return;
            }
            if (&part != &reply.parts.back()) {
                asio::steady_timer pause(context_, part_pause);
                co_await pause.async_wait(as_result);
            }
        }
        if (reply.connection_end != raw_answer::end::none) {
            if (reply.connection_end == raw_answer::end::in_order_then_late_reset) {
                boost::system::error_code ignored;
                connection.shutdown(tcp::socket::shutdown_send, ignored);
                asio::steady_timer pause(context_, late_reset_pause);
                co_await pause.async_wait(as_result);
            }
            end_connection(connection, reply.connection_end);
            co_return;
        }
        const auto length = field(head, "Content-Length");
        const auto body_bytes = length.empty() ? 0 : std::stoul(length);
        if (input.size() < body_bytes) {
            const auto [read_error, read] = co_await asio::async_read(
                connection, asio::dynamic_buffer(input),
                asio::transfer_exactly(body_bytes - input.size()), as_result);
            if (read_error) {
                co_return;
            }
        }
        input.erase(0, body_bytes);
    }
}

} // namespace snipespar::testing
