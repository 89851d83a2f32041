#include "gateway/new_peers.h"

#include "gateway/peer_directory.h"

namespace snipespar::gateway {

namespace {

constexpr std::size_t informing_gateways = 3;
constexpr int messages_per_start = 3;

} // namespace

bool new_peers::should_tell(const cli::endpoint& peer, std::uint64_t start,
                            const peer_directory& peers, time_point now)
{
    const auto [item, is_new] = known_.try_emplace(peer);
    auto& known = item->second;
    if (is_new || known.start != start) {
        const bool is_informer = peers.is_among_first(peer, start, informing_gateways);
        known = {start, is_informer ? messages_per_start : 0, now};
    }
    known.seen_at = now;
    if (known.messages_left == 0) {
        return false;
    }
    --known.messages_left;
    return true;
}

void new_peers::on_tick(duration lifetime, time_point now)
{
    std::erase_if(known_, [&](const auto& item) { return now - item.second.seen_at > lifetime; });
}

} // namespace snipespar::gateway
