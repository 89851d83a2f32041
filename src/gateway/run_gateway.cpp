#include "gateway/run_gateway.h"

#include "cli/exit_code.h"
#include "cli/gateway_settings.h"
#include "gateway/gateway_server.h"
#include "net/process_signals.h"
#include "net/run_contained.h"
#include "net/start_attempts.h"
#include "telemetry/bounded_output.h"
#include "telemetry/logger.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <fmt/core.h>
#include <unistd.h>

namespace snipespar::gateway {

namespace {

// Limit of log lines per second, and of a burst.
constexpr double log_lines_per_s = 100;
constexpr double log_burst = 400;

} // namespace

int run_gateway(const cli::gateway_settings& settings)
{
    telemetry::bounded_output output(STDOUT_FILENO, log_lines_per_s, log_burst);
    telemetry::logger log([&](std::string_view line) { output.write(line); });
    boost::asio::io_context io(1);
    gateway_server server(io, settings, log);
    for (const auto& item : settings.ignored) {
        log.warning("setting_ignored", {{"setting", item.place}, {"reason", item.message}});
    }
    auto code = cli::exit_code::ok;
    const net::start_attempts attempts(
        io, {.start = [&] { return server.start(); },
             .waiting =
                 [&](const absl::Status& status) {
                     log.warning("address_in_use", {{"reason", std::string(status.message())}});
                 },
             .failed =
                 [&](const absl::Status& status) {
                     log.error("start_failed", {{"reason", std::string(status.message())}});
                     code = cli::exit_code::failed;
                     io.stop();
                 }});
    boost::asio::steady_timer deadline(io);
    const auto force = [&] {
        server.log_unfinished();
        log.warning("stopped", {{"role", "gateway"}, {"forced", true}});
        // Requests in progress still refer to the server, so it must not be destroyed.
        std::_Exit(static_cast<int>(cli::exit_code::ok));
    };
    net::process_signals signals(
        io, {.stop =
                 [&] {
                     if (!attempts.is_started()) {
                         log.info("stopped", {{"role", "gateway"}, {"forced", false}});
                         return io.stop();
                     }
                     server.drain([&] { io.stop(); });
                     deadline.expires_after(server.exit_delay());
                     deadline.async_wait([&](const auto& error) {
                         if (!error) {
                             force();
                         }
                     });
                 },
             .stop_again = force,
             // Flags and environment variables cannot change at run time.
             .reload = [&] { log.info("reloaded", {{"changes", 0}}); }});
    net::run_contained(io, log);
    std::_Exit(static_cast<int>(code));
}

} // namespace snipespar::gateway
