#include "gateway/adapter_popularity.h"

#include <algorithm>
#include <cmath>

namespace snipespar::gateway {

namespace {

// Calls of this age count about a third; demand shifts within a few seconds.
constexpr double decay_time_s = 3.0;
// Calls of one adapter from which its share can be estimated with an error of about a third.
constexpr double min_calls = 8.0;
// Adapters with a lower decayed count are dropped.
constexpr double min_kept_calls = 0.05;

} // namespace

double adapter_popularity::decaying_count::value_at(time_point now) const
{
    const double age_s = std::chrono::duration<double>(now - at).count();
    return value * std::exp(-std::max(age_s, 0.0) / decay_time_s);
}

void adapter_popularity::decaying_count::add(time_point now)
{
    value = value_at(now) + 1;
    at = now;
}

void adapter_popularity::on_call(std::string_view adapter, time_point now)
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
    return calls < min_calls ? 0 : calls / total_.value_at(now);
}

void adapter_popularity::on_tick(time_point now)
{
    std::erase_if(adapters_,
                  [&](const auto& item) { return item.second.value_at(now) < min_kept_calls; });
}

} // namespace snipespar::gateway
