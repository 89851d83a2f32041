#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::control {

/// A gateway's answer to a permit request.
struct permit_answer {
    std::uint64_t call = 0;
    bool is_granted = false;
    /// The upstream has named no rate since the asking gateway heard of one.
    bool has_ended = false;
    /// Otherwise, the time until the next permit.
    duration wait{};

    friend bool operator==(const permit_answer&, const permit_answer&) = default;
};

} // namespace snipespar::control
