#pragma once

#include <cstdint>

namespace snipespar::link {

/// The agent has queued the request; nothing of it has reached the upstream.
struct accepted {
    std::uint64_t stream = 0;

    friend bool operator==(const accepted&, const accepted&) = default;
};

} // namespace snipespar::link
