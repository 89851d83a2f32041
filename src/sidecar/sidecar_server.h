#pragma once

#include "cli/sidecar_settings.h"
#include "control/datagram_socket.h"
#include "gateway/engine_status.h"
#include "net/http_client.h"
#include "resume/origin_store.h"
#include "sidecar/adapter_planner.h"
#include "sidecar/cold_permits.h"
#include "sidecar/finding_keeper.h"
#include "sidecar/gateway_roster.h"
#include "sidecar/last_broadcast.h"
#include "sidecar/prompt_pacer.h"
#include "sidecar/prompt_queue.h"
#include "sidecar/run_time_estimate.h"
#include "sidecar/sidecar_metrics.h"
#include "telemetry/admin_handlers.h"
#include "telemetry/logger.h"

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipespar::telemetry {
class admin_server;
}

namespace snipespar::sidecar {

/// One sidecar process: polls its engine's report, sends it orders, and reports its status to the
/// gateways that use the engine. Runs on one thread.
class sidecar_server {
public:
    sidecar_server(boost::asio::io_context& io, const cli::sidecar_settings& settings,
                   telemetry::logger& log);
    ~sidecar_server();
    sidecar_server(const sidecar_server&) = delete;
    sidecar_server& operator=(const sidecar_server&) = delete;

    /// Binds the addresses and starts. Unavailable: an address is held by another process, and
    /// another attempt may succeed.
    absl::Status start();

private:
    absl::Status listen_for_admins();
    absl::Status open_datagrams();
    boost::asio::awaitable<void> run_round();
    /// Waits until the next round is due, or something urgent has come up.
    boost::asio::awaitable<void> wait_for_round();
    void on_round_failed(const std::exception& error);
    telemetry::readiness readiness() const;
    std::optional<std::string> encode(const engine_order& order) const;
    boost::asio::awaitable<void> read_report();
    boost::asio::awaitable<void> give_orders();
    void on_message(const control::message& content, const cli::endpoint& from);
    void on_demand(const control::adapter_demand& demand, const cli::endpoint& from);
    control::adapter_demand with_sound_upstream(control::adapter_demand demand);
    void on_permit_request(const control::permit_request& request, const cli::endpoint& from);
    void on_admission(const control::admission_request& request, const cli::endpoint& from);
    void show_planner();
    void give_prompt(std::uint64_t tokens);
    void follow_prompts(const engine_report& report);
    gateway::engine_workload workload() const;
    void send_decision(const admission_decision& decision, const cli::endpoint& to);
    void pace();
    void publish();
    void send_heartbeat(const gateway::engine_status& status);

    boost::asio::io_context& io_;
    cli::sidecar_settings settings_;
    telemetry::logger& log_;
    std::uint64_t start_;
    sidecar_metrics metrics_;
    adapter_planner planner_;
    prompt_pacer pacer_;
    cold_permits cold_permits_;
    prompt_queue prompts_;
    run_time_estimate run_time_;
    /// Held for the gateways, whichever engine began the streams.
    resume::origin_store origins_;
    finding_keeper findings_;
    boost::asio::steady_timer pace_timer_;
    /// Address of each gateway that has asked for admission, by name.
    std::map<std::string, cli::endpoint> asking_gateways_;
    control::datagram_socket datagrams_;
    net::http_client engine_;
    std::unique_ptr<telemetry::admin_server> admin_;
    boost::asio::steady_timer poll_timer_;
    struct known_gateway {
        std::string name;
        time_point last_demand_at;
    };

    std::map<cli::endpoint, known_gateway> gateways_;
    /// Last name of the engine in a demand that no upstream may have.
    std::string rejected_upstream_;
    gateway_roster roster_;
    /// The status last sent to any gateway, and when one was last sent to all.
    gateway::engine_status published_;
    time_point published_at_;
    last_broadcast broadcast_;
    time_point gateways_published_at_;
    time_point reported_at_;
    std::uint64_t sequence_ = 0;
    bool is_engine_reached_ = false;
    /// Consecutive reports that could not be read.
    int reports_missed_ = 0;
    /// Consecutive rounds that ended by an exception.
    int rounds_failed_ = 0;
    bool is_urgent_ = false;
};

} // namespace snipespar::sidecar
