#pragma once

#include "snipespar/time.h"

namespace snipespar::platform {

/// How long the polls of a watch wait, and the pauses between them.
struct watch_timing {
    /// How long the store holds a poll without changes.
    duration poll_wait{};
    /// Pause before the next poll, so that changes in quick succession come in one response.
    duration poll_delay{};

    friend bool operator==(const watch_timing&, const watch_timing&) = default;
};

} // namespace snipespar::platform
