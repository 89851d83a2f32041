#pragma once

#include "cli/endpoint.h"
#include "entry/agent_links.h"
#include "entry/connection_services.h"
#include "entry/peer_links.h"
#include "entry/upstream_chooser.h"
#include "route/retry_budget.h"

#include <absl/status/status.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
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

namespace snipespar::entry {

class traffic_thread;

/// An entry process: callers' connections on the traffic threads, links to agents on the first of
/// them, and the decisions of the whole entry on the control context's thread.
class entry_server {
public:
    /// `control` must outlive the server and be run by the caller.
    entry_server(boost::asio::io_context& control, const cli::entry_settings& settings);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Binds the callers' port and starts the traffic threads.
    absl::Status start();

    /// Puts a configuration in force. Control thread only.
    void set_config(std::shared_ptr<const config::snapshot> config);

    /// Stops accepting and calls `drained` on the control thread once no request is in progress.
    void drain(std::function<void()> drained);

    /// Ends the traffic threads at once.
    void stop();

private:
    connection_services make_connection_services();
    session_services make_session_services();
    agent_link_events make_link_events();
    std::shared_ptr<request_session> make_session(const boost::asio::any_io_executor& executor,
                                                  const planned_request& planned);
    void request_ended();
    void finish_drain();

    boost::asio::io_context& control_;
    const std::uint64_t start_;
    upstream_chooser chooser_;
    std::vector<std::unique_ptr<traffic_thread>> traffic_;
    std::unique_ptr<agent_links> links_;
    peer_links peers_;
    connection_services connection_services_;
    /// Callers' listener, the listener for other entries, and where those listen.
    cli::endpoint listen_;
    cli::endpoint link_listen_;
    std::vector<cli::endpoint> dialled_peers_;
    std::atomic<std::shared_ptr<const config::access>> access_;
    std::atomic<std::uint64_t> last_request_{0};
    std::atomic<std::uint64_t> last_ticket_{0};
    std::atomic<std::int64_t> requests_in_progress_{0};
    std::atomic<bool> draining_{false};
    std::string request_prefix_;
    std::function<void()> drained_;
};

} // namespace snipespar::entry
