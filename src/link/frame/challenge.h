#pragma once

#include <cstdint>
#include <string>

namespace snipespar::link {

/// First frame of a link, from the listening side. Nothing else is sent until the connecting side
/// has proved that it holds the fleet secret.
struct challenge {
    /// Version of the link protocol that the sender uses.
    std::uint32_t protocol = 0;
    /// Random bytes that the response must cover.
    std::string nonce;

    friend bool operator==(const challenge&, const challenge&) = default;
};

} // namespace snipespar::link
