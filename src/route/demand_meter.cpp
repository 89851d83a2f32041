#include "route/demand_meter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace snipespar::route {

namespace {

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

demand_meter::demand_meter(duration half_life) : decay_per_s_(std::log(2.0) / seconds(half_life))
{
    assert(half_life > duration{});
}

double demand_meter::on_request(std::uint64_t adapter_hash, std::uint64_t tokens, time_point now)
{
    sample& entry = samples_[adapter_hash];
    entry.amount = decayed(entry, now) + static_cast<double>(tokens);
    entry.at = now;
    return entry.amount * decay_per_s_;
}

double demand_meter::rate(std::uint64_t adapter_hash, time_point now) const
{
    const auto position = samples_.find(adapter_hash);
    return position == samples_.end() ? 0 : decayed(position->second, now) * decay_per_s_;
}

void demand_meter::erase_below(double min_rate, time_point now)
{
    std::erase_if(samples_, [&](const auto& item) {
        return decayed(item.second, now) * decay_per_s_ < min_rate;
    });
}

double demand_meter::decayed(const sample& entry, time_point now) const
{
    const double age = std::max(0.0, seconds(now - entry.at));
    return entry.amount * std::exp(-decay_per_s_ * age);
}

} // namespace snipespar::route
