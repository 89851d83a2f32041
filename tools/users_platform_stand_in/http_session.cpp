#include "http_session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <utility>

namespace users_platform_stand_in {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void> serve_connection(tcp::socket socket, const handler& handle)
{
    boost::beast::flat_buffer buffer;
    bool is_open = true;
    while (is_open) {
        request message;
        const auto [error, count] = co_await http::async_read(socket, buffer, message, as_result);
        is_open = !error && co_await handle(socket, message);
    }
}

asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, const handler& handle)
{
    while (true) {
        auto [error, socket] = co_await acceptor->async_accept(as_result);
        if (!error) {
            asio::co_spawn(acceptor->get_executor(), serve_connection(std::move(socket), handle),
                           asio::detached);
        }
    }
}

} // namespace

void serve(asio::io_context& context, const std::string& listen, const handler& handle)
{
    const auto colon = listen.rfind(':');
    const tcp::endpoint address(asio::ip::make_address(listen.substr(0, colon)),
                                static_cast<std::uint16_t>(std::stoul(listen.substr(colon + 1))));
    auto acceptor = std::make_shared<tcp::acceptor>(context, address, true);
    asio::co_spawn(context, accept(std::move(acceptor), handle), asio::detached);
}

asio::awaitable<bool> send(tcp::socket& socket, const request& request_message, response answer)
{
    if (const auto id = request_message.find("Request-Id"); id != request_message.end()) {
        answer.set("Request-Id", id->value());
    }
    answer.prepare_payload();
    const auto [error, count] = co_await http::async_write(socket, answer, as_result);
    co_return !error && request_message.keep_alive();
}

response json_answer(unsigned status, const std::string& body)
{
    response answer{static_cast<http::status>(status), 11};
    answer.set(http::field::content_type, "application/json");
    answer.body() = body;
    return answer;
}

} // namespace users_platform_stand_in
