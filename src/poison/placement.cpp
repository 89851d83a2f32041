#include "poison/placement.h"

#include "base/stable_hash.h"
#include "poison/suspect_table.h"

#include <algorithm>

namespace snipespar::poison {

namespace {

const placement_candidate* best(std::uint64_t hash, std::span<const placement_candidate> candidates,
                                const placement_candidate* first)
{
    const placement_candidate* chosen = nullptr;
    double highest = 0;
    for (const auto& candidate : candidates) {
        const bool same_domain =
            first != nullptr && candidate.failure_domain == first->failure_domain;
        const double score = rendezvous_score(hash, stable_hash(candidate.upstream.str()), 1.0);
        if (!same_domain && (chosen == nullptr || score > highest)) {
            chosen = &candidate;
            highest = score;
        }
    }
    return chosen;
}

} // namespace

std::vector<upstream_id> place_request(std::uint64_t hash,
                                       std::span<const placement_candidate> candidates)
{
    const auto* first = best(hash, candidates, nullptr);
    if (first == nullptr) {
        return {};
    }
    std::vector<upstream_id> placed{first->upstream};
    const auto* second = best(hash, candidates, first);
    if (second == nullptr) {
        std::vector<placement_candidate> others;
        std::ranges::copy_if(candidates, std::back_inserter(others), [first](const auto& other) {
            return other.upstream != first->upstream;
        });
        const auto* fallback = best(hash, others, nullptr);
        if (fallback != nullptr) {
            placed.push_back(fallback->upstream);
        }
        return placed;
    }
    placed.push_back(second->upstream);
    return placed;
}

std::vector<placement_choice> allowed_upstreams(fingerprint print,
                                                std::span<const upstream_id> placed,
                                                const suspect_table& suspects, time_point now)
{
    const auto level = suspects.suspicion_of(print, now);
    std::vector<placement_choice> allowed;
    if (level == suspicion::refused) {
        return allowed;
    }
    const bool only_candidate = placed.size() == 1;
    for (const auto& upstream : placed) {
        if (level == suspicion::none) {
            allowed.push_back({upstream, false, only_candidate});
        }
        else if (allowed.empty() &&
                 (only_candidate || !suspects.crashed_at(print, upstream, now))) {
            allowed.push_back({upstream, true, only_candidate});
        }
    }
    return allowed;
}

} // namespace snipespar::poison
