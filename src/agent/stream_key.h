#pragma once

#include "link/link_handler.h"

#include <compare>
#include <cstdint>

namespace snipespar::agent {

/// Identifies a stream among all links of an agent.
struct stream_key {
    link::link_ptr from;
    std::uint64_t stream = 0;

    friend auto operator<=>(const stream_key&, const stream_key&) = default;
    friend bool operator==(const stream_key&, const stream_key&) = default;
};

} // namespace snipespar::agent
