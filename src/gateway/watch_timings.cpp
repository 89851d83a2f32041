#include "gateway/watch_timings.h"

#include "platform/watch_plan.h"

#include <algorithm>
#include <chrono>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;

// From learning of a change until it is in use: a slow store takes 250 ms for an answer, removed
// entries have 200 ms of grace, and a processor may be busy.
constexpr auto use_time = milliseconds(700);
// A configuration may be large, and is read in steps.
constexpr auto config_use_time = milliseconds(1000);
// A request that has been sent to an upstream may wait there before it begins to run.
constexpr auto begin_time = milliseconds(1300);

constexpr auto min_poll_wait = milliseconds(200);
// The store holds a poll for 30 s at most.
constexpr auto max_poll_wait = milliseconds(25'000);
// The polls of upstreams also show that the store is out of reach, whatever the bounds.
constexpr auto max_upstream_poll_wait = milliseconds(1500);

// Of the time after which an upstream must get no more work, this much is left for what follows a
// pause between polls.
constexpr auto leave_reserve = use_time + milliseconds(600);
constexpr auto min_upstream_poll_delay = milliseconds(100);
constexpr auto max_upstream_poll_delay = milliseconds(3000);
constexpr auto version_poll_delay = milliseconds(500);

// Wait of polls if a change has to be in use `due` after the end of an outage, and is `use` after
// the gateway has learned of it.
duration poll_wait(duration due, duration use)
{
    return std::clamp<duration>(due - platform::watch_plan::max_repeat_delay - use, min_poll_wait,
                                max_poll_wait);
}

} // namespace

// Upstream entries change several times a second, and the platform charges each response to a watch
// as a call: the pause between polls is as long as the bound allows.
watch_timings make_watch_timings(const store_bounds& bounds)
{
    const auto upstream_poll_delay = std::clamp<duration>(
        bounds.leave - leave_reserve, min_upstream_poll_delay, max_upstream_poll_delay);
    const auto version_grace =
        std::max<duration>(bounds.version - version_poll_delay - begin_time, duration{});
    return {
        .config = {poll_wait(bounds.recovery, config_use_time), {}},
        .upstreams = {std::min<duration>(poll_wait(bounds.recovery, use_time),
                                         max_upstream_poll_wait),
                      upstream_poll_delay},
        .versions = {poll_wait(bounds.recovery + bounds.version, version_grace + begin_time),
                     version_poll_delay},
        .evacuations = {poll_wait(bounds.recovery, use_time), {}},
        .version_grace = version_grace,
    };
}

} // namespace snipespar::gateway
