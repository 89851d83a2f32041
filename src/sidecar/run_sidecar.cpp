#include "sidecar/run_sidecar.h"

#include "cli/exit_code.h"
#include "cli/sidecar_settings.h"
#include "net/process_signals.h"
#include "net/run_contained.h"
#include "net/start_attempts.h"
#include "sidecar/sidecar_server.h"
#include "telemetry/bounded_output.h"
#include "telemetry/logger.h"

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <unistd.h>

namespace snipespar::sidecar {

namespace {

// Limit of log lines per second, and of a burst.
constexpr double log_lines_per_s = 50;
constexpr double log_burst = 200;

} // namespace

int run_sidecar(const cli::sidecar_settings& settings)
{
    telemetry::bounded_output output(STDOUT_FILENO, log_lines_per_s, log_burst);
    telemetry::logger log([&](std::string_view line) { output.write(line); });
    boost::asio::io_context io(1);
    sidecar_server server(io, settings, log);
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
    const auto stop = [&] {
        log.info("stopped", {{"role", "sidecar"}, {"forced", false}});
        io.stop();
    };
    net::process_signals signals(io, {.stop = stop, .stop_again = stop, .reload = [&] {
                                          log.info("reloaded", {{"changes", 0}});
                                      }});
    net::run_contained(io, log);
    // The coroutines still refer to the server, so it must not be destroyed.
    std::_Exit(static_cast<int>(code));
}

} // namespace snipespar::sidecar
