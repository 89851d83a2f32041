#pragma once

#include "cli/endpoint.h"
#include "snipespar/time.h"

#include <cstdint>
#include <map>

namespace snipespar::gateway {

class peer_directory;

/// Tells which gateways have just started and are to be told by this one what crashes upstreams:
/// by those few that rank first for them, so that the number of messages does not grow with the
/// fleet. Whether this gateway is one of them is decided once for each start.
class new_peers {
public:
    /// The gateway sent a message. Returns whether to tell it now; true several times, as messages
    /// may be lost.
    bool should_tell(const cli::endpoint& peer, std::uint64_t start, const peer_directory& peers,
                     time_point now);

    /// Forgets gateways that were silent for the lifetime. They are told again when they are back.
    void on_tick(duration lifetime, time_point now);

private:
    struct known_peer {
        std::uint64_t start = 0;
        int messages_left = 0;
        time_point seen_at;
    };

    std::map<cli::endpoint, known_peer> known_;
};

} // namespace snipespar::gateway
