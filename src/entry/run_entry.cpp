#include "entry/run_entry.h"

#include "base/digest.h"
#include "cli/entry_settings.h"
#include "cli/exit_code.h"
#include "config/document.h"
#include "entry/entry_server.h"
#include "net/stop_signals.h"
#include "telemetry/logger.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>
#include <iterator>
#include <memory>

namespace snipespar::entry {

namespace {

// A local document has no issued keys: each team's key is `trial-` followed by its name.
config::snapshot with_trial_keys(config::snapshot config)
{
    for (const auto& [id, team] : config.teams) {
        const key_id key("trial-" + id.str());
        config.keys[key] = {key, id, sha256_hex(key.str()), false};
    }
    return config;
}

// Reads the local document; prints all findings if it is invalid.
std::shared_ptr<const config::snapshot> read_document(const std::string& path)
{
    std::ifstream file(path);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
        fmt::print(stderr, "{}: cannot be read\n", path);
        return nullptr;
    }
    const auto parsed = config::document::parse(text, path);
    if (const auto* problems = std::get_if<findings>(&parsed)) {
        fmt::print(stderr, "{}", to_string(*problems));
        return nullptr;
    }
    return std::make_shared<const config::snapshot>(
        with_trial_keys(std::get<config::document>(parsed).content()));
}

} // namespace

int run_entry(const cli::entry_settings& settings)
{
    const telemetry::logger log;
    boost::asio::io_context control(1);
    auto work = boost::asio::make_work_guard(control);
    entry_server server(control, settings);
    if (settings.config_file) {
        const auto config = read_document(*settings.config_file);
        if (config == nullptr) {
            return static_cast<int>(cli::exit_code::refused);
        }
        server.set_config(config);
    }
    boost::asio::steady_timer deadline(control);
    const auto force = [&] {
        log.warning("forced_stop");
        // Requests in progress still refer to the server, so exit without running destructors.
        std::_Exit(static_cast<int>(cli::exit_code::failed));
    };
    const auto drain = [&] {
        server.drain([&] { control.stop(); });
        deadline.expires_after(settings.drain_timeout);
        deadline.async_wait([&](const auto& error) {
            if (!error) {
                force();
            }
        });
    };
    // Whoever sees the server start may stop it at once.
    net::stop_signals signals(control, drain, force);
    if (const auto status = server.start(); !status.ok()) {
        log.error("start_failed", {{"reason", std::string(status.message())}});
        return static_cast<int>(cli::exit_code::failed);
    }
    control.run();
    server.stop();
    return static_cast<int>(cli::exit_code::ok);
}

} // namespace snipespar::entry
