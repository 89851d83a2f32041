#include "gateway/permit_issuer.h"

#include <algorithm>

namespace snipespar::gateway {

namespace {

// An upstream that names a lower rate still gets a request now and then, as only its answers show
// that the limit has ended.
constexpr double min_rate_per_s = 0.25;
// The users allow half of the rate more over four seconds; unused permits are kept for less.
constexpr std::chrono::duration<double> kept_for{0.5};
// Time after which a call that was told to wait no longer counts on its part of the rate.
constexpr auto max_delay = std::chrono::seconds(2);
constexpr auto max_partial_wait = std::chrono::seconds(1);
constexpr auto bucket_lifetime = std::chrono::minutes(1);
constexpr auto min_wait = std::chrono::milliseconds(1);

} // namespace

control::permit_answer permit_issuer::answer(const control::permit_request& request, double share,
                                             time_point now)
{
    auto [item, is_new] = buckets_.try_emplace({request.upstream, request.process_start_ms});
    auto& bucket = item->second;
    if (is_new) {
        bucket.filled_at = now;
    }
    const auto named_at = now - request.age;
    if (is_new || named_at >= bucket.named_at) {
        bucket.named_at = named_at;
        bucket.rate_per_s = std::max(request.rate_per_s, min_rate_per_s);
        bucket.has_ended = request.has_ended;
    }
    if (bucket.has_ended) {
        return {request.call, true, true, {}};
    }
    if (share < 1 && now > bucket.expected_until) {
        bucket.filled_at = now;
        bucket.tokens = 0;
    }
    const double rate = bucket.rate_per_s * share;
    const double capacity = std::max(1.0, rate * kept_for.count());
    const std::chrono::duration<double> elapsed = now - bucket.filled_at;
    bucket.tokens = std::min(bucket.tokens + rate * elapsed.count(), capacity);
    bucket.filled_at = now;
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        bucket.expected_until = now + max_delay;
        return {request.call, true, false, {}};
    }
    const std::chrono::duration<double> seconds{(1 - bucket.tokens) / rate};
    auto wait = std::max<duration>(std::chrono::duration_cast<duration>(seconds), min_wait);
    if (share < 1) {
        // The gateway that issues the whole rate may answer again before.
        wait = std::min<duration>(wait, max_partial_wait);
    }
    bucket.expected_until = now + wait + max_delay;
    return {request.call, false, false, wait};
}

void permit_issuer::on_tick(time_point now)
{
    std::erase_if(buckets_,
                  [&](const auto& item) { return now - item.second.filled_at > bucket_lifetime; });
}

} // namespace snipespar::gateway
