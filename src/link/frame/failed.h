#pragma once

#include "snipespar/run_state.h"

#include <cstdint>
#include <string>

namespace snipespar::link {

/// The request ended without a complete response.
struct failed {
    std::uint64_t stream = 0;
    run_state state = run_state::unknown;
    std::string reason;
    std::uint64_t retry_after_ms = 0;

    friend bool operator==(const failed&, const failed&) = default;
};

} // namespace snipespar::link
