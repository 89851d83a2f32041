#pragma once

#include <cstdint>
#include <string>

namespace snipespar::link {

/// The request did not run here and will not: no byte of it reached the upstream.
struct refused {
    std::uint64_t stream = 0;
    /// Machine-readable reason, listed in docs/API.md.
    std::string reason;
    std::uint64_t retry_after_ms = 0;

    friend bool operator==(const refused&, const refused&) = default;
};

} // namespace snipespar::link
