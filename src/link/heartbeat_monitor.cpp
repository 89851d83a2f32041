#include "link/heartbeat_monitor.h"

#include <cassert>

namespace snipespar::link {

heartbeat_monitor::heartbeat_monitor(duration interval, duration timeout, time_point now)
    : interval_(interval), timeout_(timeout), last_received_(now), last_sent_(now), last_tick_(now)
{
    assert(interval < timeout);
}

void heartbeat_monitor::frame_received(time_point now)
{
    if (!dead_) {
        last_received_ = now;
    }
}

heartbeat_monitor::action heartbeat_monitor::tick(time_point now)
{
    // If this process was paused itself, frames may wait in its socket; allow one more interval to
    // read them.
    const bool was_paused = now - last_tick_ >= timeout_;
    last_tick_ = now;
    if (was_paused && now - last_received_ >= timeout_) {
        last_received_ = now - timeout_ + interval_;
    }
    if (dead_ || now - last_received_ >= timeout_) {
        dead_ = true;
        return action::declare_dead;
    }
    if (now - last_sent_ < interval_) {
        return action::none;
    }
    last_sent_ = now;
    return action::send_heartbeat;
}

} // namespace snipespar::link
