#pragma once

#include "poison/suspect_digest.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace snipespar::poison {

class suspect_table;

/// An upstream that may run a request, whether or not it is up.
struct placement_candidate {
    upstream_id upstream;
    failure_domain_id failure_domain;

    friend bool operator==(const placement_candidate&, const placement_candidate&) = default;
};

/// The upstreams that may run the requests with one hash: two, in different failure domains where
/// there are such. The same at every entry with the same candidates, so copies of one request
/// that are sent at the same time through several entries reach no third upstream. Upstreams that
/// are down stay candidates: a choice that followed the deaths would spread a request that causes
/// them.
std::vector<upstream_id> place(std::uint64_t hash, std::span<const placement_candidate> candidates);

/// Where a request goes.
struct placement_choice {
    upstream_id upstream;
    /// The upstream must run nothing else beside it.
    bool alone = false;
    /// The upstream may run it although it died of it, as no other may.
    bool sole = false;

    friend bool operator==(const placement_choice&, const placement_choice&) = default;
};

/// Those of the placed upstreams that may run the request, best first; empty where it is refused.
/// A suspect has one choice, an upstream at which it has not died.
std::vector<placement_choice> choices(fingerprint print, std::span<const upstream_id> placed,
                                      const suspect_table& suspects, time_point now);

} // namespace snipespar::poison
