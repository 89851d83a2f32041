#include "gateway/peer_directory.h"

namespace snipespar::gateway {

namespace {

// Gateways and sidecars report at least twice a second.
constexpr auto peer_expiry = std::chrono::seconds(4);

} // namespace

void peer_directory::on_seen(const cli::endpoint& peer, time_point now)
{
    if (peer != self_) {
        peers_[peer] = now;
    }
}

void peer_directory::on_tick(time_point now)
{
    std::erase_if(peers_, [&](const auto& item) { return now - item.second > peer_expiry; });
}

std::vector<cli::endpoint> peer_directory::all() const
{
    std::vector<cli::endpoint> list;
    list.reserve(peers_.size());
    for (const auto& [peer, last_seen] : peers_) {
        list.push_back(peer);
    }
    return list;
}

} // namespace snipespar::gateway
