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

/// Selects the upstreams that may run requests with one hash: two, in different failure domains if
/// possible. The result is the same at every entry with the same candidates, so copies of one
/// request sent concurrently through several entries reach no third upstream. Upstreams that are
/// down remain candidates: excluding them would spread a request that crashes upstreams.
std::vector<upstream_id> place_request(std::uint64_t hash,
                                       std::span<const placement_candidate> candidates);

/// An upstream to which a request may be sent.
struct placement_choice {
    upstream_id upstream;
    /// The upstream must run nothing else concurrently.
    bool alone = false;
    /// No other upstream may run it, so this one may, even if the request crashed it.
    bool only_candidate = false;

    friend bool operator==(const placement_choice&, const placement_choice&) = default;
};

/// Returns the placed upstreams that may run the request, best first; empty if it is refused.
/// A suspect gets one choice, an upstream that it has not crashed.
std::vector<placement_choice> allowed_upstreams(fingerprint print,
                                                std::span<const upstream_id> placed,
                                                const suspect_table& suspects, time_point now);

} // namespace snipespar::poison
