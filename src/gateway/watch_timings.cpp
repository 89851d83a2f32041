#include "gateway/watch_timings.h"

#include <algorithm>
#include <chrono>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;

constexpr duration usual_poll_wait = std::chrono::seconds(25);
// The polls of upstreams also detect outages: a store that was unresponsive has lost the requests
// that it accepted meanwhile, and the connection does not show it.
constexpr auto upstream_poll_wait = milliseconds(1500);
// Of the time after which an upstream must get no more work, this much is left for what follows a
// pause between polls: 250 ms for a slow store, 200 ms of grace for removed entries, the rest for a
// busy processor.
constexpr auto leave_reserve = milliseconds(1300);
constexpr auto min_upstream_poll_delay = milliseconds(100);
constexpr auto max_upstream_poll_delay = milliseconds(3000);
constexpr auto version_poll_delay = milliseconds(200);

} // namespace

// Upstream entries change several times a second, and the platform charges each response to a watch
// as a call: the pause between polls is as long as the bound allows.
watch_timings make_watch_timings(const store_bounds& bounds)
{
    const auto upstream_poll_delay = std::clamp<duration>(
        bounds.leave - leave_reserve, min_upstream_poll_delay, max_upstream_poll_delay);
    return {
        .config = {usual_poll_wait, {}},
        .upstreams = {upstream_poll_wait, upstream_poll_delay},
        .versions = {usual_poll_wait, version_poll_delay},
        .evacuations = {usual_poll_wait, {}},
    };
}

} // namespace snipespar::gateway
