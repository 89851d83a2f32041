#include "engine.h"
#include "session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <docopt/docopt.h>
#include <exception>
#include <fmt/core.h>
#include <memory>
#include <optional>

namespace {

namespace asio = boost::asio;
using engine_stand_in::engine;
using engine_stand_in::engine_options;
using engine_stand_in::session;

constexpr const char* usage =
    R"(Stands in for a model engine: same responses for the same flags, with faults on request.

Usage:
  engine_stand_in [options]

Options:
  --listen ADDRESS     Address and port [default: 127.0.0.1:0].
  --slots N            Number of adapter slots [default: 8].
  --max-running N      Requests running concurrently [default: 8].
  --load-ms N          Time of an adapter load [default: 250].
  --token-us N         Time of a generated token [default: 500].
  --prompt-us N        Time of a prompt token [default: 0].
  --loads-at-once N    Concurrent loads at full speed [default: 16].
  --report-lag-ms N    Maximum age of the load report [default: 0].
  --incarnation N      First incarnation in the load report [default: 1].
  --software TEXT      Software version in the load report; marks each token if given.
  --checks-fencing     Refuse orders with an old fencing number.
  --help               Show this text.

Endpoints: POST /v1/completions, /v1/chat/completions, /v1/load_lora_adapter,
/v1/unload_lora_adapter, /faults; GET /v1/models, /health, /load, /record?find=TEXT.
)";

engine_options parse_options(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto count = [&args](const char* name) {
        return static_cast<std::uint32_t>(args[name].asLong());
    };
    engine_options options;
    const std::string listen = args["--listen"].asString();
    const auto colon = listen.rfind(':');
    options.address = listen.substr(0, colon);
    options.port = static_cast<std::uint16_t>(std::stoul(listen.substr(colon + 1)));
    options.slots = count("--slots");
    options.max_running = count("--max-running");
    options.load_time = std::chrono::milliseconds(count("--load-ms"));
    options.token_time = std::chrono::microseconds(count("--token-us"));
    options.prompt_token_time = std::chrono::microseconds(count("--prompt-us"));
    options.full_speed_loads = count("--loads-at-once");
    options.report_lag = std::chrono::milliseconds(count("--report-lag-ms"));
    options.incarnation = count("--incarnation");
    options.software = args["--software"] ? args["--software"].asString() : "";
    options.checks_fencing = args["--checks-fencing"].asBool();
    return options;
}

asio::awaitable<void> serve_connection(asio::ip::tcp::socket socket, engine& state)
{
    const auto connection = std::make_unique<session>(std::move(socket), state);
    co_await connection->serve();
}

asio::awaitable<void> accept_connections(asio::ip::tcp::acceptor& acceptor, engine& state)
{
    for (;;) {
        auto [error, socket] = co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_return;
        }
        socket.set_option(asio::ip::tcp::no_delay(true));
        asio::co_spawn(acceptor.get_executor(), serve_connection(std::move(socket), state),
                       asio::detached);
    }
}

int run(const engine_options& options)
{
    // Outlives the context, whose connections reference it until they are destroyed.
    std::optional<engine> state;
    asio::io_context context(1);
    state.emplace(context.get_executor(), options);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(options.address), options.port);
    asio::ip::tcp::acceptor acceptor(context, endpoint);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](auto, auto) { context.stop(); });
    asio::co_spawn(context, accept_connections(acceptor, *state), asio::detached);
    const auto bound = acceptor.local_endpoint();
    fmt::print("listening {}:{}\n", bound.address().to_string(), bound.port());
    (void)std::fflush(stdout);
    context.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(parse_options(argc, argv));
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "engine_stand_in: {}\n", error.what());
        return EXIT_FAILURE;
    }
}
