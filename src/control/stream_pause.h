#pragma once

#include "snipespar/time.h"

namespace snipespar::control {

/// Message from a gateway to a sidecar: two events of a stream of its engine were further apart
/// than the stream's route wants.
struct stream_pause {
    duration gap{};
    duration target{};

    friend bool operator==(const stream_pause&, const stream_pause&) = default;
};

} // namespace snipespar::control
