#pragma once

#include "snipespar/run_state.h"
#include "snipespar/time.h"

#include <optional>
#include <string>

namespace snipespar::entry {

/// An answer that the system itself gives in place of an upstream's.
struct refusal {
    /// HTTP status.
    int status = 0;
    /// Machine-readable reason, listed in docs/API.md.
    std::string code;
    /// For a person.
    std::string message;
    run_state ran = run_state::not_run;
    /// When asking again may help.
    std::optional<duration> retry_after;

    friend bool operator==(const refusal&, const refusal&) = default;
};

} // namespace snipespar::entry
