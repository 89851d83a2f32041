#pragma once

#include "base/shared_snapshot.h"
#include "cli/endpoint.h"
#include "entry/agent_links.h"
#include "entry/claim_gate.h"
#include "entry/config_service.h"
#include "entry/connection_services.h"
#include "entry/entry_metrics.h"
#include "entry/local_limit_store.h"
#include "entry/peer_links.h"
#include "entry/platform_records.h"
#include "entry/team_budgets.h"
#include "entry/upstream_chooser.h"
#include "poison/suspect_table.h"
#include "telemetry/admin_handlers.h"
#include "telemetry/logger.h"
#include "telemetry/state_log.h"
#include "telemetry/trace_source.h"

#include <absl/status/status.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipespar::cli {
struct entry_settings;
}

namespace snipespar::config {
struct snapshot;
}

namespace snipespar::telemetry {
class admin_server;
class span_exporter;
} // namespace snipespar::telemetry

namespace snipespar::entry {

class traffic_thread;

/// An entry process: callers' connections on the traffic threads, links to agents on the first of
/// them, and all decisions on the control context's thread.
class entry_server {
public:
    /// `control` must outlive the server and be run by the caller.
    entry_server(boost::asio::io_context& control, const cli::entry_settings& settings);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Binds the callers' port and starts the traffic threads.
    absl::Status start();

    /// Enables claims of idempotency keys, kept in `store`; to be called before start().
    void use_claims(claim_store store);

    /// Activates a configuration. Control thread only.
    void set_config(std::shared_ptr<const config::snapshot> config);

    /// Stops accepting and calls `drained` on the control thread once no request is in progress.
    void drain(std::function<void()> drained);

    /// Stops the traffic threads immediately.
    void stop();

private:
    connection_services make_connection_services();
    session_services make_session_services();
    agent_link_events make_link_events();
    std::shared_ptr<request_session> make_session(const boost::asio::any_io_executor& executor,
                                                  const planned_request& planned);
    void request_ended(const request_outcome& outcome);
    void record_span(const request_outcome& outcome);
    absl::Status start_admin();
    telemetry::readiness readiness() const;
    std::string status_document() const;
    void finish_drain();
    bool merge_suspects(const std::string& payload);
    std::string encode_suspects() const;
    void report_counters();

    boost::asio::io_context& control_;
    const std::uint64_t start_;
    entry_metrics metrics_;
    telemetry::logger log_;
    telemetry::state_log states_;
    telemetry::trace_source traces_;
    std::unique_ptr<telemetry::span_exporter> spans_;
    std::unique_ptr<telemetry::admin_server> admin_;
    boost::asio::steady_timer counters_timer_;
    duration counters_interval_;
    upstream_chooser chooser_;
    /// Requests that crash upstreams, as reported by agents and other entries.
    poison::suspect_table suspects_;
    std::vector<std::unique_ptr<traffic_thread>> traffic_;
    std::unique_ptr<agent_links> links_;
    peer_links peers_;
    /// Null without a platform.
    std::unique_ptr<claim_gate> claims_;
    incarnation self_;
    /// Null when the configuration comes from a local file.
    std::unique_ptr<platform_records> records_;
    local_limit_store local_limits_;
    team_budgets budgets_;
    /// Null when the configuration comes from a local file.
    std::unique_ptr<config_service> config_;
    connection_services connection_services_;
    /// Addresses of the callers' listener, of the other listeners, and of the other entries.
    cli::endpoint listen_;
    cli::endpoint link_listen_;
    cli::endpoint admin_listen_;
    std::vector<cli::endpoint> peer_addresses_;
    shared_snapshot<config::access> access_;
    std::atomic<std::uint64_t> last_request_{0};
    std::atomic<std::uint64_t> last_ticket_{0};
    std::atomic<std::int64_t> requests_in_progress_{0};
    std::atomic<bool> draining_{false};
    std::string request_prefix_;
    std::function<void()> drained_;
};

} // namespace snipespar::entry
