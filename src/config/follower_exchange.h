#pragma once

#include "config/follower.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipespar::config {

/// What a follower needs from its process.
struct follower_services {
    /// Sends a message of topic `follower_topic` to a peer, or drops it.
    std::function<void(const host_id& peer, const std::string& payload)> send;
    /// Performs a watch and reports it to the follower; unused where the platform is not watched.
    std::function<void(const watch_root&)> watch;
    /// Reads a part from the platform.
    std::function<void(const std::string& sha256)> read_part;
    /// Puts a version in force.
    std::function<void(const std::shared_ptr<const snapshot>&)> adopt;
};

/// Joins a follower to its peers: carries out its actions, answers the peers' questions and hands
/// in their answers.
class follower_exchange {
public:
    follower_exchange(follower_settings settings, failure_domain_id failure_domain,
                      follower_services services);

    follower& logic() { return follower_; }
    const follower& logic() const { return follower_; }

    /// Carries out what the follower asked for.
    void perform(const follower_actions& actions, time_point now);

    void on_peer_up(const host_id& peer, time_point now);
    void on_peer_down(const host_id& peer);

    /// Takes a message from a peer; one that cannot be read is counted and dropped.
    void on_message(const host_id& peer, const std::string& payload, time_point now);

    /// Keeps the list of members: this process, the `expected` others that the settings name, and
    /// while the platform answers the ones that are linked.
    void update_members(std::size_t expected);

    std::uint64_t unreadable() const { return unreadable_; }

private:
    struct message_handler;

    host_id self_;
    failure_domain_id failure_domain_;
    follower follower_;
    follower_services services_;
    /// Failure domains of the peers that answered and are linked.
    std::map<host_id, failure_domain_id> linked_;
    std::map<host_id, failure_domain_id> members_;
    std::uint64_t unreadable_ = 0;
};

} // namespace snipespar::config
