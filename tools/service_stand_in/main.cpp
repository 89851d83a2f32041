#include "session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdio>
#include <docopt/docopt.h>
#include <exception>
#include <fmt/core.h>
#include <string>
#include <utility>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using service_stand_in::service;
using service_stand_in::session;

constexpr const char* usage =
    R"(Stands in for a plain service: echoes requests and counts their executions, with faults on
request.

Usage:
  service_stand_in [options]

Options:
  --listen ADDRESS     Address and port [default: 127.0.0.1:0].
  --help               Show this text.

Endpoints: POST /faults; GET /record?find=TEXT; every other request is executed and echoed.
)";

tcp::endpoint parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
    return {asio::ip::make_address(text.substr(0, colon)), port};
}

asio::awaitable<void> serve(tcp::socket socket, service& state)
{
    session connection(std::move(socket), state);
    co_await connection.serve();
}

asio::awaitable<void> accept(tcp::acceptor& acceptor, service& state)
{
    while (true) {
        auto [error, socket] = co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (!error) {
            asio::co_spawn(acceptor.get_executor(), serve(std::move(socket), state),
                           asio::detached);
        }
    }
}

void run(const std::string& address)
{
    asio::io_context context(1);
    service state;
    tcp::acceptor acceptor(context, parse_address(address));
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    asio::co_spawn(context, accept(acceptor, state), asio::detached);
    const auto bound = acceptor.local_endpoint();
    fmt::print("listening {}:{}\n", bound.address().to_string(), bound.port());
    std::fflush(stdout);
    context.run();
}

} // namespace

int main(int argc, char** argv)
{
    try {
        auto args = docopt::docopt(usage, {argv + 1, argv + argc});
        run(args["--listen"].asString());
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "service_stand_in: {}\n", error.what());
        return 1;
    }
    return 0;
}
