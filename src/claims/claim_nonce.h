#pragma once

#include "snipespar/ids.h"

#include <compare>
#include <cstdint>

namespace snipespar::claims {

/// Unique identifier of one claim of one entry process, never reused. By it an entry recognizes
/// that a write whose response was lost took effect, and that a duplicate request is the same
/// claim.
struct claim_nonce {
    incarnation claimer;
    std::uint64_t number = 0;

    friend auto operator<=>(const claim_nonce&, const claim_nonce&) = default;
    friend bool operator==(const claim_nonce&, const claim_nonce&) = default;
};

} // namespace snipespar::claims
