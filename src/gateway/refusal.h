#pragma once

#include "snipespar/time.h"

#include <optional>
#include <string>

namespace snipespar::gateway {

/// An answer that the gateway gives of its own accord.
struct refusal {
    unsigned status = 0;
    /// Short name of the cause, for the caller, the log and the metrics.
    std::string cause;
    /// When the caller may come back, if that can help.
    std::optional<duration> retry_after;
    /// The connection is closed after the answer.
    bool closes = false;

    friend bool operator==(const refusal&, const refusal&) = default;
};

/// The whole answer in HTTP.
std::string to_http(const refusal& answer, const std::string& request_id);

} // namespace snipespar::gateway
