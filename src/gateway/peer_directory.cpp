#include "gateway/peer_directory.h"

#include "base/stable_hash.h"

#include <algorithm>

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

bool peer_directory::is_among_first(const cli::endpoint& except, std::uint64_t key,
                                    std::size_t count) const
{
    const auto score = [key](const cli::endpoint& gateway) {
        return rendezvous_score(key, stable_hash(gateway.str()), 1.0);
    };
    const auto own = score(self_);
    const auto before = std::ranges::count_if(
        peers_, [&](const auto& item) { return item.first != except && score(item.first) > own; });
    return static_cast<std::size_t>(before) < count;
}

} // namespace snipespar::gateway
