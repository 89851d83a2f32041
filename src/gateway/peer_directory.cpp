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
    on_heard(peer);
    if (peer != self_ && peers_.insert_or_assign(peer, now).second) {
        on_membership_changed();
    }
}

bool peer_directory::on_named(const cli::endpoint& peer, const std::string& sidecar_ip,
                              time_point now)
{
    if (peer == self_) {
        return true;
    }
    const auto unheard = unheard_.find(peer);
    if (unheard != unheard_.end()) {
        unheard->second.named_at = now;
    }
    if (const auto counted = peers_.find(peer); counted != peers_.end()) {
        counted->second = now;
        return true;
    }
    if (unheard != unheard_.end()) {
        if (unheard->second.first_sidecar != sidecar_ip) {
            peers_[peer] = now;
            on_membership_changed();
        }
        return true;
    }
    const auto by_sidecar = unheard_by_sidecar_.find(sidecar_ip);
    const auto known = by_sidecar == unheard_by_sidecar_.end() ? 0 : by_sidecar->second;
    if (known >= max_unheard_by_sidecar || unheard_.size() >= max_unheard) {
        return false;
    }
    unheard_[peer] = {sidecar_ip, now};
    ++unheard_by_sidecar_[sidecar_ip];
    return true;
}

void peer_directory::on_stopping(const cli::endpoint& peer)
{
    on_heard(peer);
    if (peers_.erase(peer) != 0) {
        on_membership_changed();
    }
}

void peer_directory::on_tick(time_point now)
{
    if (std::erase_if(peers_, [&](const auto& item) { return now - item.second > peer_expiry; }) !=
        0) {
        on_membership_changed();
    }
    std::erase_if(unheard_, [&](const auto& item) {
        const bool is_expired = now - item.second.named_at > peer_expiry;
        if (is_expired) {
            release(item.second);
        }
        return is_expired;
    });
}

void peer_directory::on_membership_changed()
{
    first_.clear();
    ++membership_;
}

void peer_directory::on_heard(const cli::endpoint& peer)
{
    if (const auto unheard = unheard_.find(peer); unheard != unheard_.end()) {
        release(unheard->second);
        unheard_.erase(unheard);
    }
}

void peer_directory::release(const unheard_peer& peer)
{
    const auto named = unheard_by_sidecar_.find(peer.first_sidecar);
    if (named != unheard_by_sidecar_.end() && --named->second == 0) {
        unheard_by_sidecar_.erase(named);
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

std::vector<cli::endpoint> peer_directory::contacts() const
{
    auto list = all();
    for (const auto& [peer, unheard] : unheard_) {
        if (!peers_.contains(peer)) {
            list.push_back(peer);
        }
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
