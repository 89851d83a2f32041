#include "sidecar/adapter_history.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace snipespar::sidecar {

namespace {

// Long enough to see an adapter that is used once a second several times, and short enough to
// follow demand that moves to other adapters within some seconds.
constexpr duration half_life = std::chrono::seconds(8);
// Several times the adapters that one engine sees within a few half-lives.
constexpr std::size_t max_adapters = 2048;
// More calls than an engine can begin between two messages of a gateway.
constexpr int max_stated_calls = 1000;

} // namespace

double adapter_history::decayed_count::value_at(time_point now) const
{
    return value * std::exp2(-std::max(std::chrono::duration<double>(now - at) / half_life, 0.0));
}

void adapter_history::on_calls(std::string_view adapter, int calls, time_point now)
{
    if (calls <= 0) {
        return;
    }
    auto found = counts_.find(adapter);
    if (found == counts_.end()) {
        if (counts_.size() >= max_adapters) {
            forget(now);
        }
        found = counts_.emplace(adapter, decayed_count{}).first;
    }
    found->second = {found->second.value_at(now) + std::min(calls, max_stated_calls), now};
}

double adapter_history::calls(std::string_view adapter, time_point now) const
{
    const auto found = counts_.find(adapter);
    return found == counts_.end() ? 0 : found->second.value_at(now);
}

// Drops the less used half, with all that are used as little as its busiest one.
void adapter_history::forget(time_point now)
{
    std::vector<double> values;
    values.reserve(counts_.size());
    for (const auto& [adapter, count] : counts_) {
        values.push_back(count.value_at(now));
    }
    const auto median = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), median, values.end());
    std::erase_if(counts_, [&](const auto& item) { return item.second.value_at(now) <= *median; });
}

} // namespace snipespar::sidecar
