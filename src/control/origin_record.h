#pragma once

#include "resume/stream_key.h"
#include "resume/stream_origin.h"

namespace snipespar::control {

/// Message from a gateway to a sidecar or another gateway, which holds the origin of a stream for
/// whichever gateway asks for it.
struct origin_record {
    resume::stream_key key;
    resume::stream_origin origin;

    friend bool operator==(const origin_record&, const origin_record&) = default;
};

} // namespace snipespar::control
