#include "gateway/adapter_popularity.h"

#include <algorithm>
#include <cmath>

namespace snipespar::gateway {

namespace {

// Calls of this long ago count a third; demand moves on within a few seconds.
constexpr double fading_time_s = 3.0;
// Calls of one adapter from which its share can be told with an error of about a third.
constexpr double least_calls = 8.0;
// Adapters with fewer calls left are forgotten.
constexpr double forgotten_calls = 0.05;

} // namespace

double adapter_popularity::fading_count::value_at(time_point now) const
{
    const double age_s = std::chrono::duration<double>(now - at).count();
    return value * std::exp(-std::max(age_s, 0.0) / fading_time_s);
}

void adapter_popularity::fading_count::add(time_point now)
{
    value = value_at(now) + 1;
    at = now;
}

void adapter_popularity::note(std::string_view adapter, time_point now)
{
    total_.add(now);
    if (!adapter.empty()) {
        adapters_[std::string(adapter)].add(now);
    }
}

double adapter_popularity::share(std::string_view adapter, time_point now) const
{
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end()) {
        return 0;
    }
    const double calls = found->second.value_at(now);
    return calls < least_calls ? 0 : calls / total_.value_at(now);
}

void adapter_popularity::on_tick(time_point now)
{
    std::erase_if(adapters_,
                  [&](const auto& item) { return item.second.value_at(now) < forgotten_calls; });
}

} // namespace snipespar::gateway
