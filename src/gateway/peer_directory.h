#pragma once

#include "cli/endpoint.h"
#include "snipespar/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// The other gateways, learned from their own messages and from sidecar reports.
///
/// A gateway counts once it has been heard, or once two sidecars have named it. One that a single
/// sidecar has named is only a contact: it is sent messages, so that it learns of this gateway and
/// reports by itself, and changes no share.
class peer_directory {
public:
    explicit peer_directory(cli::endpoint self) : self_(std::move(self)) {}

    /// Gateways that have never been heard and are known by one sidecar first; more are refused. A
    /// sound sidecar names at most 72 gateways in a list and about 130 before they expire.
    static constexpr std::size_t max_unheard_by_sidecar = 144;
    /// Gateways that have never been heard, whoever named them: several times the largest fleet
    /// that is tested.
    static constexpr std::size_t max_unheard = 1024;

    /// The gateway sent a message.
    void on_seen(const cli::endpoint& peer, time_point now);

    /// A report of the sidecar at this IP address named the gateway. Returns false if it is
    /// refused.
    bool on_named(const cli::endpoint& peer, const std::string& sidecar_ip, time_point now);

    /// The gateway reported that it is stopping.
    void on_stopping(const cli::endpoint& peer);

    /// Drops gateways without recent reports.
    void on_tick(time_point now);

    /// The gateways that count.
    std::vector<cli::endpoint> all() const;

    /// Whom to send messages for all gateways: those that count and the contacts.
    std::vector<cli::endpoint> contacts() const;

    /// Whether this gateway is among the first `count` of all in the order of rendezvous hashing
    /// for `key`. The gateway `except` takes no part.
    bool is_among_first(const cli::endpoint& except, std::uint64_t key, std::size_t count) const;

    /// The gateway that ranks first of all in the order of rendezvous hashing for `key`.
    const cli::endpoint& first_for(std::uint64_t key) const;

    /// Incremented when the gateways that count change.
    std::uint64_t membership() const { return membership_; }

    const cli::endpoint& self() const { return self_; }

    /// Number of gateways assumed to be running, including this one.
    int count() const { return static_cast<int>(peers_.size()) + 1; }

private:
    /// A gateway that has never been heard.
    struct unheard_peer {
        /// IP address of the sidecar that named it first.
        std::string first_sidecar;
        time_point named_at;
    };

    void on_membership_changed();
    void on_heard(const cli::endpoint& peer);
    void release(const unheard_peer& peer);

    cli::endpoint self_;
    /// The gateways that count, and when each was last seen.
    std::map<cli::endpoint, time_point> peers_;
    /// Contacts, and gateways that count as two sidecars named them.
    std::map<cli::endpoint, unheard_peer> unheard_;
    /// Number of unheard gateways by the sidecar that named them first.
    std::map<std::string, std::size_t> unheard_by_sidecar_;
    std::uint64_t membership_ = 0;
    /// Results of `first_for` for the present gateways, so that a request does not rank them all.
    mutable std::map<std::uint64_t, cli::endpoint> first_;
};

} // namespace snipespar::gateway
