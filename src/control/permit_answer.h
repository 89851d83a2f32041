#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::control {

/// The answer to a permit request.
struct permit_answer {
    std::uint64_t call = 0;
    bool is_granted = false;
    /// The upstream has named no rate since the asking gateway heard of one.
    bool has_ended = false;
    /// How long the call has to wait until it may be sent, if it is granted. Otherwise, the time
    /// until the next permit.
    duration wait{};

    friend bool operator==(const permit_answer&, const permit_answer&) = default;
};

} // namespace snipespar::control
