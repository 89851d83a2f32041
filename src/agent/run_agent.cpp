#include "agent/run_agent.h"

#include "agent/agent_server.h"
#include "cli/agent_settings.h"
#include "cli/exit_code.h"
#include "net/stop_signals.h"
#include "telemetry/logger.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace snipespar::agent {

namespace {

constexpr std::chrono::milliseconds link_flush_time{500};

} // namespace

int run_agent(const cli::agent_settings& settings)
{
    const telemetry::logger log;
    boost::asio::io_context context(1);
    agent_server server(context, settings);
    auto code = cli::exit_code::ok;
    boost::asio::steady_timer deadline(context);
    const auto force = [&] {
        log.warning("forced_stop");
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
        log.info("draining");
        server.drain(finish);
        deadline.expires_after(settings.drain_timeout);
        deadline.async_wait([&](const auto& error) {
            if (!error) {
                force();
            }
        });
    };
    // Whoever sees the server start may stop it at once.
    net::stop_signals signals(context, drain, force);
    if (const auto status = server.start(); !status.ok()) {
        log.error("start_failed", {{"reason", std::string(status.message())}});
        return static_cast<int>(cli::exit_code::failed);
    }
    log.info("started", {{"listen", settings.listen.str()}});
    context.run();
    return static_cast<int>(code);
}

} // namespace snipespar::agent
