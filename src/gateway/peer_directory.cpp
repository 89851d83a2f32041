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
    if (peer != self_ && peers_.insert_or_assign(peer, now).second) {
        first_.clear();
        ++membership_;
    }
}

void peer_directory::on_stopping(const cli::endpoint& peer)
{
    if (peers_.erase(peer) != 0) {
        first_.clear();
        ++membership_;
    }
}

void peer_directory::on_tick(time_point now)
{
    const auto is_expired = [&](const auto& item) { return now - item.second > peer_expiry; };
    if (std::erase_if(peers_, is_expired) != 0) {
        first_.clear();
        ++membership_;
    }
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

const cli::endpoint& peer_directory::first_for(std::uint64_t key) const
{
    const auto [known, is_new] = first_.try_emplace(key, self_);
    if (is_new) {
        auto best = rendezvous_score(key, stable_hash(self_.str()), 1.0);
        for (const auto& [peer, last_seen] : peers_) {
            const auto score = rendezvous_score(key, stable_hash(peer.str()), 1.0);
            if (score > best) {
                best = score;
                known->second = peer;
            }
        }
    }
    return known->second;
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
