#pragma once

#include "snipespar/time.h"

#include <optional>
#include <string>

namespace snipespar::gateway {

/// A response that the gateway itself creates.
struct refusal {
    unsigned status = 0;
    /// Short name of the cause, for the caller and the log.
    std::string cause;
    /// Delay after which a retry may succeed; absent if a retry is of no use.
    std::optional<duration> retry_after;
    /// The connection is closed after the response.
    bool closes = false;

    friend bool operator==(const refusal&, const refusal&) = default;
};

/// The complete HTTP response.
std::string to_http(const refusal& response, const std::string& request_id);

} // namespace snipespar::gateway
