#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::control {

/// A sidecar's answer to an admission request.
struct admission_answer {
    enum class verdict : std::uint8_t {
        /// The call can be sent now.
        granted,
        /// The call is granted later, presumably after `wait`.
        queued,
        /// The call cannot be sent within the time that it can wait.
        refused,
    };

    std::uint64_t call = 0;
    verdict decision = verdict::granted;
    duration wait{};

    friend bool operator==(const admission_answer&, const admission_answer&) = default;
};

} // namespace snipespar::control
