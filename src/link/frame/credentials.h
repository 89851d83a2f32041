#pragma once

#include "link/role.h"
#include "snipespar/ids.h"

#include <cstdint>
#include <string>

namespace snipespar::link {

/// Response to a challenge: the identity of the connecting side and a proof over both nonces.
struct credentials {
    std::uint32_t protocol = 0;
    role sender_role = role::entry;
    incarnation sender;
    /// Random bytes that the welcome must cover.
    std::string nonce;
    /// HMAC-SHA-256 with the fleet secret.
    std::string proof;

    friend bool operator==(const credentials&, const credentials&) = default;
};

} // namespace snipespar::link
