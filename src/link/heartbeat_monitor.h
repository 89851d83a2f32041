#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::link {

/// Decides when a link sends a heartbeat and when it is dead. A link that receives no frames while
/// its connection still looks open is declared dead and stays so, whatever arrives later.
class heartbeat_monitor {
public:
    /// What the owner of the link must do after a tick.
    enum class action { none, send_heartbeat, declare_dead };

    /// A link is dead after `timeout` without any frame; `interval` must be well below it.
    heartbeat_monitor(duration interval, duration timeout, time_point now);

    /// Any frame from the peer proves that it is alive.
    void frame_received(time_point now);

    /// Must be called at least once per interval.
    action tick(time_point now);

    bool dead() const { return dead_; }
    std::uint64_t next_sequence() { return ++sequence_; }

private:
    duration interval_;
    duration timeout_;
    time_point last_received_;
    time_point last_sent_;
    time_point last_tick_;
    std::uint64_t sequence_ = 0;
    bool dead_ = false;
};

} // namespace snipespar::link
