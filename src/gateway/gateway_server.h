#pragma once

#include "cli/gateway_settings.h"
#include "control/datagram_socket.h"
#include "control/message.h"
#include "gateway/evacuation_news.h"
#include "gateway/gateway_context.h"
#include "gateway/new_peers.h"
#include "gateway/peer_directory.h"
#include "gateway/rate_permits.h"
#include "gateway/stop_plan.h"
#include "gateway/usage_reporter.h"
#include "gateway/watch_timings.h"
#include "platform/config_reader.h"
#include "platform/object_watch.h"
#include "resume/origin_directory.h"
#include "telemetry/admin_handlers.h"
#include "telemetry/logger.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::telemetry {
class admin_server;
}

namespace snipespar::gateway {

class call_exchange;
class caller_connection;

/// One gateway process: accepts callers, watches configuration and upstreams, and exchanges state
/// with sidecars and other gateways. Runs on one thread.
class gateway_server {
public:
    gateway_server(boost::asio::io_context& io, const cli::gateway_settings& settings,
                   telemetry::logger& log);
    ~gateway_server();
    gateway_server(const gateway_server&) = delete;
    gateway_server& operator=(const gateway_server&) = delete;

    /// Binds the addresses and starts. Unavailable: an address is held by another process, and
    /// another attempt may succeed.
    absl::Status start();

    /// Stops accepting new work; `done` is called once all answers are written and all connections
    /// are closed.
    void drain(std::function<void()> done);

    /// Time from the beginning of a stop until the process exits, whatever is unfinished.
    duration exit_delay() const { return context_.stop.exit_delay(); }

    /// Logs the requests and answers that an exit at this moment cuts off.
    void log_unfinished() const;

private:
    platform::object_watch
    make_watch(const std::string& kind, platform::object_watch_options options,
               void (gateway_server::*listed)(const std::vector<platform::watched_object>&,
                                              platform::list_extent),
               void (gateway_server::*changed)(const platform::watched_object&));
    absl::Status listen_for_admins();
    absl::Status open_datagrams();
    absl::Status listen();
    void accept();
    void accept_later(const boost::system::error_code& error);
    void add_connection(boost::asio::ip::tcp::socket socket);
    void close_longest_idle();
    void close_listener();
    void take_stop_step(time_point now);
    void end_calls();
    void tick();
    void contain_exchange(call_exchange& exchange, const std::function<void()>& action);
    void cut_oversized_answers();
    void slow_tick(time_point now);
    telemetry::readiness readiness() const;
    std::string status() const;
    telemetry::query_answer explain(std::string_view query) const;

    void on_config_listed(const std::vector<platform::watched_object>& objects,
                          platform::list_extent extent);
    void on_config_changed(const platform::watched_object& object);
    void read_config();
    void greet_sidecars();
    void use_config(std::shared_ptr<const fleet_config> config);
    void on_upstreams_listed(const std::vector<platform::watched_object>& objects,
                             platform::list_extent extent);
    void on_upstream_changed(const platform::watched_object& object);
    void on_versions_listed(const std::vector<platform::watched_object>& objects,
                            platform::list_extent extent);
    void on_version_changed(const platform::watched_object& object);
    void on_evacuations_listed(const std::vector<platform::watched_object>& objects,
                               platform::list_extent extent);
    void on_evacuation_changed(const platform::watched_object& object);
    void evacuate(std::set<failure_domain_id> domains);
    /// The watches that run.
    std::vector<platform::object_watch*> watches();
    void on_unreadable(const std::string& kind, const std::string& name, const std::string& reason);
    void on_contact(const std::string& kind, bool is_reached, const std::string& reason);

    void on_read_ended(const std::string& kind, const platform::store_read& read);
    void on_restored(const std::string& kind, std::uint64_t era);

    void on_message(const control::message& content, const cli::endpoint& from);
    void on_report(const control::sidecar_report& report, const cli::endpoint& from);
    void on_usage(const control::gateway_usage& usage, const cli::endpoint& from);
    void queue_demand(const upstream_id& upstream);
    void send_demand(const upstream_id& upstream);
    void send_usage(time_point now);
    void on_upstream_ended(const upstream_id& upstream);
    void on_upstream_unreachable(const upstream_id& upstream);
    void on_crash(const upstream_id& upstream, time_point now);
    std::optional<control::permit_answer> ask_permit(const control::permit_request& request);
    void on_permit_answer(const control::permit_answer& answer);
    void announce(const poison::suspect_digest& findings);
    bool is_holder_usable(const resume::origin_holder& holder, time_point now) const;
    void inform_new_peer(const control::gateway_usage& usage, const cli::endpoint& from,
                         time_point now);
    void send_to_peers(const control::message& content);
    void update_origin_holders();
    void perform(const resume::origin_actions& actions);
    void update_retry_budgets();

    boost::asio::io_context& io_;
    cli::gateway_settings settings_;
    std::uint64_t start_;
    gateway_context context_;
    peer_directory peers_;
    rate_permits permits_;
    resume::origin_directory origins_;
    /// Members of the fleet from which the holders of origins were last chosen.
    std::uint64_t known_upstreams_ = 0;
    std::uint64_t known_peers_ = 0;
    std::uint64_t known_config_ = 0;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_timer_;
    time_point accept_failure_logged_at_;
    boost::asio::steady_timer tick_timer_;
    control::datagram_socket datagrams_;
    platform::config_reader config_reader_;
    /// The latest version that has not been read yet.
    std::optional<std::string> unread_config_;
    bool is_reading_config_ = false;
    time_point config_read_began_at_;
    watch_timings watch_timings_;
    platform::object_watch config_watch_;
    platform::object_watch upstream_watch_;
    platform::object_watch version_watch_;
    /// Runs only where the deployment states a bound on evacuations.
    platform::object_watch evacuation_watch_;
    evacuation_news evacuation_news_;
    std::unique_ptr<telemetry::admin_server> admin_;
    time_point registry_asked_at_;
    std::list<std::weak_ptr<caller_connection>> connections_;
    /// Connections of callers beyond which idle ones are closed.
    std::size_t max_connections_;
    time_point idle_closes_logged_at_;

    bool has_upstreams_ = false;
    /// Latest era in which the store was found restored.
    std::uint64_t store_era_ = 0;
    time_point refused_names_logged_at_;
    bool is_registry_unreachable_ = false;
    std::set<upstream_id> queued_demands_;
    new_peers new_peers_;
    std::uint64_t usage_sequence_ = 0;
    usage_reporter usage_reporter_;
    /// As last logged.
    double limit_share_ = 1;
    std::optional<time_point> last_tick_at_;
    time_point slow_tick_at_;
    time_point demand_sent_at_;
    std::uint64_t demand_round_ = 0;
    time_point config_refreshed_at_;
    std::function<void()> drained_;
};

} // namespace snipespar::gateway
