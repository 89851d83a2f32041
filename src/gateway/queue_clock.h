#pragma once

#include "snipespar/time.h"

#include <algorithm>
#include <concepts>
#include <optional>

namespace snipespar::gateway {

/// Tells when a request arrived that may have waited in its socket's queue, as the process stood
/// still or was behind. Usually that is when its first byte is read. A late tick shows that the
/// process was behind; what has piled up meanwhile takes it up to the same time again to read.
class queue_clock {
public:
    /// The tick that comes every `tick_interval`.
    void on_tick(time_point now)
    {
        if (is_late(now)) {
            behind_since_ = *behind_since(now);
            behind_until_ = now + (now - *last_tick_);
        }
        last_tick_ = now;
    }

    /// When the request arrived whose first byte is read now. `quiet_time` returns the time since
    /// its connection last received bytes. The request came no later than they did.
    template <std::invocable QuietTime>
    time_point arrival(time_point now, const QuietTime& quiet_time) const
    {
        const auto since = behind_since(now);
        return since ? std::clamp(now - quiet_time(), *since, now) : now;
    }

private:
    /// Between two ticks. They come every 20 ms, and a round of events takes a few milliseconds.
    static constexpr duration late_tick = std::chrono::milliseconds(100);

    bool is_late(time_point now) const { return last_tick_ && now - *last_tick_ > late_tick; }

    // When the process fell behind; nothing if it is not.
    std::optional<time_point> behind_since(time_point now) const
    {
        if (now < behind_until_) {
            return behind_since_;
        }
        return is_late(now) ? last_tick_ : std::nullopt;
    }

    std::optional<time_point> last_tick_;
    /// Of the last time that it fell behind, and until when what came meanwhile may be unread.
    time_point behind_since_{};
    time_point behind_until_{};
};

} // namespace snipespar::gateway
