#pragma once

#include "config/follower_exchange.h"
#include "entry/peer_links.h"
#include "store/http_object_store.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

namespace snipespar::cli {
struct entry_settings;
}

namespace snipespar::entry {

/// Follows the accepted configuration in an entry: watches the platform, synchronizes with the
/// other entries and serves the agents. Runs on the control thread.
class config_service {
public:
    using send_to_agent = std::function<void(const upstream_id&, const std::string& payload)>;
    using adopt_function = std::function<void(const std::shared_ptr<const config::snapshot>&)>;

    /// `settings` must name a platform. `peers` must not have any link yet.
    config_service(boost::asio::io_context& control, const cli::entry_settings& settings,
                   peer_links& peers, send_to_agent send, adopt_function adopt);

    void start();
    void stop();

    /// Handles a message of topic `config::follower_topic` from an agent.
    void on_agent_message(const upstream_id& agent, const std::string& payload);

    /// Whether new requests may be admitted now; from any thread.
    bool may_admit() const;

private:
    config::follower_services make_services(send_to_agent send, adopt_function adopt);
    boost::asio::awaitable<void> watch(config::watch_root action);
    boost::asio::awaitable<void> read_part(std::string sha256);
    void tick();
    void update_admits_until();

    boost::asio::io_context& control_;
    std::string environment_;
    std::size_t expected_peers_ = 0;
    store::http_object_store store_;
    peer_links& peers_;
    std::map<host_id, incarnation> entries_;
    config::follower_exchange exchange_;
    boost::asio::steady_timer timer_;
    /// Microseconds of the monotonic clock until which requests are admitted.
    std::atomic<duration::rep> admits_until_;
};

} // namespace snipespar::entry
