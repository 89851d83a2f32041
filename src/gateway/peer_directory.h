#pragma once

#include "cli/endpoint.h"
#include "snipespar/time.h"

#include <map>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// The other gateways, as sidecars and they themselves make them known.
class peer_directory {
public:
    explicit peer_directory(cli::endpoint self) : self_(std::move(self)) {}

    /// The gateway was heard, or a sidecar has heard of it lately.
    void on_heard(const cli::endpoint& peer, time_point now);

    /// The gateway said that it is stopping.
    void on_leaving(const cli::endpoint& peer) { peers_.erase(peer); }

    /// Forgets gateways of which nothing was heard for long.
    void on_tick(time_point now);

    std::vector<cli::endpoint> all() const;

    /// Gateways that are believed to run, this one included.
    int count() const { return static_cast<int>(peers_.size()) + 1; }

private:
    cli::endpoint self_;
    std::map<cli::endpoint, time_point> peers_;
};

} // namespace snipespar::gateway
