#include "gateway/channel_pool.h"

#include "gateway/upstream_channel.h"

#include <algorithm>

namespace snipespar::gateway {

namespace {

// Used if an upstream does not state how long it keeps idle connections.
constexpr auto default_idle_time = std::chrono::milliseconds(4000);
// Idle connections are closed this long before the upstream would close them, so that no request is
// sent on a closing connection.
constexpr auto idle_margin = std::chrono::milliseconds(700);

} // namespace

std::shared_ptr<upstream_channel> channel_pool::acquire(const cli::endpoint& upstream,
                                                        std::string_view request_id, time_point now)
{
    auto& list = idle_[upstream];
    while (!list.empty()) {
        auto last = std::move(list.back());
        list.pop_back();
        if (last.expires > now && last.channel->can_take_request(request_id)) {
            return last.channel;
        }
        last.channel->abandon();
    }
    return std::make_shared<upstream_channel>(executor_, upstream);
}

void channel_pool::release(std::shared_ptr<upstream_channel> channel, time_point now)
{
    if (!channel->is_reusable()) {
        channel->abandon();
        return;
    }
    const auto stated = std::chrono::seconds(channel->keep_alive_s());
    const duration kept = stated.count() > 0 ? duration(stated) : duration(default_idle_time);
    if (kept <= idle_margin) {
        channel->abandon();
        return;
    }
    channel->watch_idle([self = std::weak_ptr(lifetime_), this, upstream = channel->upstream(),
                         closed = std::weak_ptr(channel)] {
        if (self.expired()) {
            return;
        }
        std::erase_if(idle_[upstream],
                      [&](const idle_channel& item) { return item.channel == closed.lock(); });
    });
    idle_[channel->upstream()].push_back({std::move(channel), now + kept - idle_margin});
}

void channel_pool::on_tick(time_point now)
{
    for (auto& [upstream, list] : idle_) {
        std::erase_if(list, [&](const idle_channel& item) {
            const bool is_over = item.expires <= now || !item.channel->is_reusable();
            if (is_over) {
                item.channel->abandon();
            }
            return is_over;
        });
    }
    std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

void channel_pool::close_idle(const cli::endpoint& upstream)
{
    const auto found = idle_.find(upstream);
    if (found != idle_.end()) {
        for (const auto& item : found->second) {
            item.channel->abandon();
        }
        idle_.erase(found);
    }
}

} // namespace snipespar::gateway
