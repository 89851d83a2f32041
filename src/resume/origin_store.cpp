#include "resume/origin_store.h"

namespace snipespar::resume {

namespace {

// Renewals within this time change nothing, so that repeated messages cost no memory.
constexpr auto renewal_interval = std::chrono::seconds(5);

} // namespace

void origin_store::put(const stream_key& key, const stream_origin& origin, time_point now)
{
    const auto [item, is_new] = records_.try_emplace(key);
    auto& record = item->second;
    if (is_new) {
        record.origin = origin;
    }
    else if (now >= record.expires) {
        record = {origin, {}, false};
    }
    else if (record.origin != origin) {
        record.is_ambiguous = true;
    }
    const auto expires = now + lifetime;
    if (is_new || expires - record.expires >= renewal_interval) {
        record.expires = expires;
        expiries_.emplace_back(expires, key);
    }
    while (records_.size() > capacity) {
        drop_oldest();
    }
}

std::optional<stream_origin> origin_store::find(const stream_key& key, time_point now) const
{
    const auto found = records_.find(key);
    const bool is_known =
        found != records_.end() && now < found->second.expires && !found->second.is_ambiguous;
    return is_known ? std::optional(found->second.origin) : std::nullopt;
}

void origin_store::on_tick(time_point now)
{
    while (!expiries_.empty() && expiries_.front().first <= now) {
        drop_oldest();
    }
}

// Drops the record that expires first, unless it was renewed meanwhile.
void origin_store::drop_oldest()
{
    const auto [expires, key] = expiries_.front();
    expiries_.pop_front();
    const auto found = records_.find(key);
    if (found != records_.end() && found->second.expires == expires) {
        records_.erase(found);
    }
}

} // namespace snipespar::resume
