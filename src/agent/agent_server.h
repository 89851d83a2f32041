#pragma once

#include "agent/adapter_orders.h"
#include "agent/stream_key.h"
#include "agent/upstream_call.h"
#include "config/follower_exchange.h"
#include "link/endpoint.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace snipespar::cli {
struct agent_settings;
}

namespace snipespar::agent {

/// The traffic side of an agent: links from entries and exchanges with the one upstream. All of it
/// runs on the context's thread.
class agent_server {
public:
    agent_server(boost::asio::io_context& context, const cli::agent_settings& settings);

    /// Starts to accept links.
    absl::Status start();

    /// Tells the entries that no new work is taken, refuses what still comes, and calls `drained`
    /// once everything that runs has ended.
    void drain(std::function<void()> drained);

    /// Closes all links at once.
    void stop();

private:
    void on_frame(const link::link_ptr& from, link::frame message);
    void on_down(const link::link_ptr& from);
    void on_up(const link::link_ptr& from);
    void tick();
    void set_config(const std::shared_ptr<const config::snapshot>& config);
    bool is_withdrawn(const key_id& key) const;
    std::string refusal_reason(const link::run_request& request) const;
    void on_run_request(const link::link_ptr& from, link::run_request request);
    void on_cancel(const stream_key& key);
    void run(const stream_key& key);
    void call_finished(const stream_key& key);
    link::upstream_report make_report() const;
    void report_to_all();

    boost::asio::io_context& context_;
    upstream_address upstream_;
    std::string listen_ip_;
    std::uint16_t listen_port_;
    adapter_orders orders_;
    std::set<link::link_ptr> entries_;
    config::follower_exchange config_;
    boost::asio::steady_timer tick_timer_;
    /// Keys of the requests in progress.
    std::map<stream_key, key_id> keys_;
    std::map<stream_key, std::shared_ptr<upstream_call>> calls_;
    std::set<std::string> resident_;
    std::uint64_t fencing_number_ = 0;
    bool draining_ = false;
    std::function<void()> drained_;
    link::endpoint links_;
};

} // namespace snipespar::agent
