#pragma once

#include "snipespar/ids.h"

#include <compare>
#include <cstdint>

namespace snipespar::claims {

/// Names one claim of one entry process, and no other claim ever. It shows an entry that a write
/// whose answer was lost took effect, and that a request sent twice is the same claim.
struct claim_nonce {
    incarnation claimer;
    std::uint64_t number = 0;

    friend auto operator<=>(const claim_nonce&, const claim_nonce&) = default;
    friend bool operator==(const claim_nonce&, const claim_nonce&) = default;
};

} // namespace snipespar::claims
