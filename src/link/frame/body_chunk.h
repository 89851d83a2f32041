#pragma once

#include <cstdint>
#include <string>

namespace snipespar::link {

/// Part of a plain service's response body.
struct body_chunk {
    std::uint64_t stream = 0;
    /// Bytes of the body before this part.
    std::uint64_t offset = 0;
    std::string bytes;

    friend bool operator==(const body_chunk&, const body_chunk&) = default;
};

} // namespace snipespar::link
