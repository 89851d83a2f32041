#include "agent/run_agent.h"

#include "agent/agent_server.h"
#include "cli/agent_settings.h"
#include "cli/exit_code.h"
#include "net/stop_signals.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fmt/core.h>

namespace snipespar::agent {

namespace {

constexpr std::chrono::milliseconds link_flush_time{500};

} // namespace

int run_agent(const cli::agent_settings& settings)
{
    boost::asio::io_context context(1);
    agent_server server(context, settings);
    if (const auto status = server.start(); !status.ok()) {
        fmt::print(stderr, "level=error event=start_failed reason=\"{}\"\n",
                   std::string(status.message()));
        return static_cast<int>(cli::exit_code::failed);
    }
    auto code = cli::exit_code::ok;
    boost::asio::steady_timer deadline(context);
    const auto force = [&] {
        fmt::print(stderr, "level=warning event=forced_stop\n");
        code = cli::exit_code::failed;
        server.stop();
        context.stop();
    };
    // When the drain completes, the last frames may not have been written yet.
    const auto finish = [&] {
        deadline.expires_after(link_flush_time);
        deadline.async_wait([&](const auto&) {
            server.stop();
            context.stop();
        });
    };
    const auto drain = [&] {
        fmt::print(stderr, "level=info event=draining\n");
        server.drain(finish);
        deadline.expires_after(settings.drain_timeout);
        deadline.async_wait([&](const auto& error) {
            if (!error) {
                force();
            }
        });
    };
    net::stop_signals signals(context, drain, force);
    fmt::print(stderr, "level=info event=started listen={}\n", settings.listen.str());
    context.run();
    return static_cast<int>(code);
}

} // namespace snipespar::agent
