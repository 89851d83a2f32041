#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::link {

/// Decides when a link sends a heartbeat and when it is dead. A link that has gone silent while its
/// connection still looks open is declared dead and never trusted again, whatever arrives later.
class heartbeat_monitor {
public:
    /// What the owner of the link has to do after a tick.
    enum class action { none, send_heartbeat, declare_dead };

    /// A link is dead after `timeout` without any frame; `interval` must be well below it.
    heartbeat_monitor(duration interval, duration timeout, time_point now);

    /// Any frame from the other side proves that it is alive.
    void frame_received(time_point now);

    /// To be called at least once an interval.
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
