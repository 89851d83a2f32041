#include "gateway/stop_plan.h"

#include <algorithm>

namespace snipespar::gateway {

namespace {

// Time until the load balancer has noticed that this gateway is not ready and sends no new
// connections: it asks once a second and acts on the second miss.
constexpr auto balancer_notice_time = std::chrono::milliseconds(2500);
// Idle connections are closed this long after the stop begins, as requests in flight still arrive.
constexpr auto idle_close_delay = std::chrono::milliseconds(1000);

// Parts of the grace after which the listener is closed at the latest, open calls are answered, and
// the process exits. The rest is for writing the answers and for a process that gets the processor
// late.
constexpr double max_listener_part = 0.45;
constexpr double calls_end_part = 0.90;
constexpr double exit_part = 0.94;

duration part_of(duration whole, double part)
{
    return std::chrono::duration_cast<duration>(part * whole);
}

} // namespace

duration stop_plan::listener_close_delay() const
{
    return std::min<duration>(balancer_notice_time, part_of(grace_, max_listener_part));
}

duration stop_plan::calls_end_delay() const
{
    return part_of(grace_, calls_end_part);
}

duration stop_plan::exit_delay() const
{
    return part_of(grace_, exit_part);
}

// Until the balancer has noticed the stop callers cannot go elsewhere, and most streams end long
// before their time limit.
bool stop_plan::takes_call(bool is_stream, duration needed, time_point now) const
{
    if (!began_at_ || (is_stream && now - *began_at_ < listener_close_delay())) {
        return true;
    }
    return now + needed <= *began_at_ + calls_end_delay();
}

void stop_plan::begin(time_point now)
{
    if (!began_at_) {
        began_at_ = now;
    }
}

bool stop_plan::closes_idle_connections(time_point now) const
{
    return began_at_ && now - *began_at_ >= idle_close_delay;
}

stop_step stop_plan::next(const stop_progress& progress, time_point now)
{
    if (!began_at_ || now - *began_at_ < listener_close_delay()) {
        return stop_step::serve;
    }
    if (!is_listener_closed_) {
        is_listener_closed_ = true;
        return stop_step::close_listener;
    }
    if (!are_calls_ended_ && progress.has_requests() && now - *began_at_ >= calls_end_delay()) {
        are_calls_ended_ = true;
        return stop_step::end_calls;
    }
    return progress == stop_progress{} ? stop_step::exit : stop_step::serve;
}

} // namespace snipespar::gateway
