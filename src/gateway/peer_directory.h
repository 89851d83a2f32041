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
class peer_directory {
public:
    explicit peer_directory(cli::endpoint self) : self_(std::move(self)) {}

    /// The gateway sent a message, or a sidecar reported it.
    void on_seen(const cli::endpoint& peer, time_point now);

    /// The gateway reported that it is stopping.
    void on_stopping(const cli::endpoint& peer);

    /// Drops gateways without recent reports.
    void on_tick(time_point now);

    std::vector<cli::endpoint> all() const;

    /// Whether this gateway is among the first `count` of all in the order of rendezvous hashing
    /// for `key`. The gateway `except` takes no part.
    bool is_among_first(const cli::endpoint& except, std::uint64_t key, std::size_t count) const;

    /// The gateway that ranks first of all in the order of rendezvous hashing for `key`.
    const cli::endpoint& first_for(std::uint64_t key) const;

    /// Incremented when a gateway is added or dropped.
    std::uint64_t membership() const { return membership_; }

    const cli::endpoint& self() const { return self_; }

    /// Number of gateways assumed to be running, including this one.
    int count() const { return static_cast<int>(peers_.size()) + 1; }

private:
    cli::endpoint self_;
    std::map<cli::endpoint, time_point> peers_;
    std::uint64_t membership_ = 0;
    /// Results of `first_for` for the present gateways, so that a request does not rank them all.
    mutable std::map<std::uint64_t, cli::endpoint> first_;
};

} // namespace snipespar::gateway
