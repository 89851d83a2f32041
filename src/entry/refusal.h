#pragma once

#include "snipespar/run_state.h"
#include "snipespar/time.h"

#include <optional>
#include <string>

namespace snipespar::entry {

/// An error response of the system itself, in place of an upstream's response.
struct refusal {
    /// HTTP status.
    int status = 0;
    /// Machine-readable reason, listed in docs/API.md.
    std::string code;
    /// Human-readable explanation.
    std::string message;
    run_state ran = run_state::not_run;
    /// Delay after which a retry may succeed.
    std::optional<duration> retry_after;

    friend bool operator==(const refusal&, const refusal&) = default;
};

} // namespace snipespar::entry
