#pragma once

#include "resume/stream_key.h"
#include "resume/stream_origin.h"

#include <cstdint>
#include <optional>

namespace snipespar::control {

/// Answer to a question for the origin of a stream.
struct origin_answer {
    std::uint64_t number = 0;
    /// Of the question, as a restarted gateway gives its numbers again.
    resume::stream_key key;
    /// Absent if it is not held there.
    std::optional<resume::stream_origin> origin;

    friend bool operator==(const origin_answer&, const origin_answer&) = default;
};

} // namespace snipespar::control
