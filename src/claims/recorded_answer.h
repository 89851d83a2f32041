#pragma once

#include "claims/digest.h"

#include <optional>
#include <string>

namespace snipespar::claims {

/// The answer of a call that ran, kept so that a repeated request gets the same one.
struct recorded_answer {
    /// HTTP status.
    int status = 0;
    std::string content_type;
    /// Digest of the body; zero if the body was too large to be kept.
    digest body_digest;
    /// The body itself, if it is small enough to be kept.
    std::optional<std::string> body;

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

} // namespace snipespar::claims
