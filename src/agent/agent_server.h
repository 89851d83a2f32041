#pragma once

#include "agent/request_runner.h"
#include "agent/stream_key.h"
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

/// Serves an agent's traffic: links from entries and exchanges with the one upstream. Runs on the
/// context's thread.
class agent_server {
public:
    agent_server(boost::asio::io_context& context, const cli::agent_settings& settings);

    /// Starts accepting links.
    absl::Status start();

    /// Reports to the entries that the upstream is leaving, refuses new requests, and calls
    /// `drained` once all running requests have ended.
    void drain(std::function<void()> drained);

    /// Closes all links immediately.
    void stop();

private:
    void on_frame(const link::link_ptr& from, link::frame message);
    void on_link_down(const link::link_ptr& from);
    void on_link_up(const link::link_ptr& from);
    void tick();
    void set_config(const std::shared_ptr<const config::snapshot>& config);
    bool is_withdrawn(const key_id& key) const;
    std::string refusal_reason(const link::run_request& request) const;
    void on_run_request(const link::link_ptr& from, link::run_request request);
    void start_runner(const config::snapshot* config, bool is_engine);
    bool is_engine(const config::snapshot& config) const;
    runner_options make_runner_options(const config::snapshot* config, bool is_engine) const;
    runner_events make_runner_events();
    void erase_key(const stream_key& key);
    void cancel_matching(const std::function<bool(const stream_key&, const key_id&)>& selected);
    void send_suspects_to_entries(const poison::suspect_digest& digest) const;
    void on_peer_message(const link::link_ptr& from, const link::peer_message& message);
    link::upstream_report make_report() const;
    void report_to_all();

    boost::asio::io_context& context_;
    upstream_address upstream_;
    upstream_id id_;
    std::uint64_t start_;
    std::string listen_ip_;
    std::uint16_t listen_port_;
    duration longest_order_time_;
    std::set<link::link_ptr> entries_;
    config::follower_exchange config_;
    boost::asio::steady_timer tick_timer_;
    /// Keys of the requests in progress.
    std::map<stream_key, key_id> keys_;
    /// Null until the upstream's declaration is known.
    std::unique_ptr<request_runner> runner_;
    /// Suspects received before the runner exists.
    poison::suspect_digest pending_suspects_;
    bool draining_ = false;
    std::function<void()> drained_;
    link::endpoint links_;
};

} // namespace snipespar::agent
