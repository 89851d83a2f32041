#include "agent/service_rate.h"

#include <algorithm>

namespace snipespar::agent {

service_rate::service_rate(duration token_time, std::uint32_t max_running)
    : us_per_token_(static_cast<double>(token_time.count())),
      max_running_(std::max<std::uint32_t>(max_running, 1))
{
}

void service_rate::on_request_done(std::uint64_t tokens, duration elapsed)
{
    constexpr double newest_weight = 0.1;
    if (tokens == 0) {
        return;
    }
    const double sample = static_cast<double>(elapsed.count()) / static_cast<double>(tokens);
    us_per_token_ += newest_weight * (sample - us_per_token_);
}

duration service_rate::time_of(double tokens) const
{
    return duration(static_cast<duration::rep>(tokens * us_per_token_ / max_running_));
}

} // namespace snipespar::agent
