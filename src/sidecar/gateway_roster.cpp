#include "sidecar/gateway_roster.h"

#include <algorithm>

namespace snipespar::sidecar {

std::size_t gateway_roster::part_of(std::size_t gateways)
{
    if (gateways <= whole_list_gateways) {
        return gateways;
    }
    return std::max(min_part, whole_list_gateways * whole_list_gateways / gateways);
}

std::vector<cli::endpoint> gateway_roster::next(const std::vector<cli::endpoint>& known)
{
    const auto part = part_of(known.size());
    if (part == known.size()) {
        new_.clear();
        last_.reset();
        return known;
    }
    std::vector<cli::endpoint> named;
    std::set<cli::endpoint> seen;
    while (!new_.empty() && named.size() < part) {
        auto gateway = std::move(new_.extract(new_.begin()).value());
        if (std::ranges::binary_search(known, gateway)) {
            seen.insert(gateway);
            named.push_back(std::move(gateway));
        }
    }
    auto position = last_ ? std::ranges::upper_bound(known, *last_)
                          : known.begin() + static_cast<std::ptrdiff_t>(seed_ % known.size());
    for (std::size_t i = 0; i < known.size() && named.size() < part; ++i, ++position) {
        if (position == known.end()) {
            position = known.begin();
        }
        last_ = *position;
        if (!seen.contains(*position)) {
            named.push_back(*position);
        }
    }
    return named;
}

} // namespace snipespar::sidecar
