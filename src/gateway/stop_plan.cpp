#include "gateway/stop_plan.h"

namespace snipespar::gateway {

namespace {

// Time until the load balancer has noticed that this gateway is not ready and sends no new
// connections: it asks once a second and acts on the second miss.
constexpr auto balancer_notice_time = std::chrono::milliseconds(2500);
// Idle connections are closed this long after the stop begins, as requests in flight still arrive.
constexpr auto idle_close_delay = std::chrono::milliseconds(1000);

} // namespace

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
    if (!began_at_ || now - *began_at_ < balancer_notice_time) {
        return stop_step::serve;
    }
    if (!is_listener_closed_) {
        is_listener_closed_ = true;
        return stop_step::close_listener;
    }
    return progress == stop_progress{} ? stop_step::exit : stop_step::serve;
}

} // namespace snipespar::gateway
