#include "sidecar/cold_permits.h"

#include <algorithm>

namespace snipespar::sidecar {

namespace {

// A call that has to wait longer is refused, as it may find room elsewhere: streams are to begin
// within some hundred milliseconds, and an adapter is loaded on another engine in 250 ms.
constexpr auto max_wait = std::chrono::milliseconds(100);
// An engine that takes fewer would be of no use to callers, who wait for seconds.
constexpr double min_rate_per_s = 0.25;
// A gateway that gets no answer asks again within this time.
constexpr auto repeat_time = std::chrono::milliseconds(200);
constexpr auto min_wait = std::chrono::milliseconds(1);

} // namespace

control::permit_answer cold_permits::answer(const control::permit_request& request,
                                            const std::string& gateway, time_point now)
{
    drop_expired(now);
    const auto key = std::pair(gateway, request.call);
    if (const auto found = issued_.find(key); found != issued_.end()) {
        return {request.call, true, false, std::max<duration>(found->second - now, {})};
    }
    const std::chrono::duration<double> seconds{1 / std::max(request.rate_per_s, min_rate_per_s)};
    const auto interval = std::chrono::ceil<duration>(seconds);
    if (!std::exchange(has_issued_, true)) {
        next_ = now + interval;
    }
    const auto moment = std::max(next_, now);
    if (moment - now > std::max<duration>(max_wait, interval)) {
        return {request.call, false, false, std::max<duration>(moment - now - max_wait, min_wait)};
    }
    next_ = moment + interval;
    issued_.emplace(key, moment);
    return {request.call, true, false, moment - now};
}

void cold_permits::drop_expired(time_point now)
{
    std::erase_if(issued_, [&](const auto& item) { return now - item.second > repeat_time; });
}

} // namespace snipespar::sidecar
