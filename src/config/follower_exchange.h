#pragma once

#include "config/follower.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipespar::config {

/// Services that the process provides to its follower.
struct follower_services {
    /// Sends a message of topic `follower_topic` to a peer; best effort.
    std::function<void(const host_id& peer, const std::string& payload)> send;
    /// Performs a watch and passes its result to the follower; unused if the platform is not
    /// watched.
    std::function<void(const watch_root&)> watch;
    /// Reads a part from the platform.
    std::function<void(const std::string& sha256)> read_part;
    /// Activates a version.
    std::function<void(const std::shared_ptr<const snapshot>&)> adopt;
};

/// Connects a follower to its peers: performs its actions, responds to the peers' queries and
/// passes on their responses.
class follower_exchange {
public:
    follower_exchange(follower_settings settings, failure_domain_id failure_domain,
                      follower_services services);

    follower& logic() { return follower_; }
    const follower& logic() const { return follower_; }

    /// Performs the follower's actions.
    void perform(const follower_actions& actions, time_point now);

    void on_peer_up(const host_id& peer, time_point now);
    void on_peer_down(const host_id& peer);

    /// Handles a message from a peer; one that cannot be decoded is counted and dropped.
    void on_message(const host_id& peer, const std::string& payload, time_point now);

    /// Updates the list of members: this process and the linked ones, padded to the `expected`
    /// others that the settings name. Members that lost their link are removed only while the
    /// platform is reachable.
    void update_members(std::size_t expected);

    std::uint64_t undecodable_messages() const { return undecodable_messages_; }

private:
    struct message_handler;

    host_id self_;
    failure_domain_id failure_domain_;
    follower follower_;
    follower_services services_;
    /// Failure domains of the linked peers that have responded.
    std::map<host_id, failure_domain_id> linked_;
    std::map<host_id, failure_domain_id> members_;
    std::uint64_t undecodable_messages_ = 0;
};

} // namespace snipespar::config
