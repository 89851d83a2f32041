#pragma once

#include "resume/stream_key.h"

#include <cstdint>

namespace snipespar::control {

/// Message from a gateway to one that may hold the origin of a stream.
struct origin_question {
    /// Chosen by the asking gateway.
    std::uint64_t number = 0;
    resume::stream_key key;

    friend bool operator==(const origin_question&, const origin_question&) = default;
};

} // namespace snipespar::control
