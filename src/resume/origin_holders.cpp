#include "resume/origin_holders.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <utility>

namespace snipespar::resume {

namespace {

constexpr std::size_t told_sidecars = 2;
constexpr std::size_t told_gateways = 1;
// More than are told, as members may have come or gone in between.
constexpr std::size_t asked_sidecars = 6;
constexpr std::size_t asked_gateways = 3;

} // namespace

void origin_holders::set_sidecars(std::vector<origin_holder> sidecars)
{
    sidecars_ = std::move(sidecars);
    sidecar_rankings_ = {};
}

void origin_holders::set_gateways(std::vector<cli::endpoint> gateways)
{
    gateways_.clear();
    for (auto& address : gateways) {
        gateways_.push_back({std::move(address), {}, {}});
    }
    gateway_rankings_ = {};
}

std::vector<cli::endpoint>
origin_holders::to_tell(const stream_key& key,
                        const std::function<bool(const origin_holder&)>& is_usable) const
{
    std::vector<const origin_holder*> usable;
    for (const auto* holder : ranking(key, sidecars_, asked_sidecars, sidecar_rankings_)) {
        if (is_usable(*holder)) {
            usable.push_back(holder);
        }
    }
    // Moves the first holder of another failure domain to the second place.
    const auto is_elsewhere = [&](const auto* holder) {
        return holder->failure_domain != usable.front()->failure_domain;
    };
    const auto second = std::ranges::find_if(usable, is_elsewhere);
    if (second != usable.end()) {
        std::rotate(usable.begin() + 1, second, second + 1);
    }
    std::vector<cli::endpoint> told;
    for (const auto* holder : usable) {
        if (told.size() < told_sidecars) {
            told.push_back(holder->address);
        }
    }
    const auto& peers = ranking(key, gateways_, asked_gateways, gateway_rankings_);
    for (std::size_t i = 0; i < std::min(told_gateways, peers.size()); ++i) {
        told.push_back(peers[i]->address);
    }
    return told;
}

std::vector<cli::endpoint> origin_holders::to_ask(const stream_key& key) const
{
    std::vector<cli::endpoint> asked;
    for (const auto* holder : ranking(key, sidecars_, asked_sidecars, sidecar_rankings_)) {
        asked.push_back(holder->address);
    }
    for (const auto* holder : ranking(key, gateways_, asked_gateways, gateway_rankings_)) {
        asked.push_back(holder->address);
    }
    return asked;
}

const std::vector<const origin_holder*>&
origin_holders::ranking(const stream_key& key, const std::vector<origin_holder>& holders,
                        std::size_t length, rankings& known)
{
    const auto group = key.high % ranking_count;
    auto& first = known[group];
    if (first.empty() && !holders.empty()) {
        std::vector<std::pair<double, const origin_holder*>> scored;
        scored.reserve(holders.size());
        for (const auto& holder : holders) {
            // By address, which survives a restart.
            const auto candidate = stable_hash(holder.address.str());
            scored.emplace_back(rendezvous_score(group, candidate, 1.0), &holder);
        }
        const auto count = std::min(length, scored.size());
        std::partial_sort(
            scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
        for (std::size_t i = 0; i < count; ++i) {
            first.push_back(scored[i].second);
        }
    }
    return first;
}

} // namespace snipespar::resume
