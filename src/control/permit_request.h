#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::control {

/// Message from a gateway to the one that keeps the request rate of an upstream, or to the sidecar
/// of a cold engine: asks whether a call may be sent there, or tells that the upstream no longer
/// names a rate.
struct permit_request {
    /// Chosen by the asking gateway; repeated when it asks again for the same call.
    std::uint64_t call = 0;
    upstream_id upstream;
    std::uint64_t process_start_ms = 0;
    /// Requests per second that the upstream takes, as the asking gateway knows.
    double rate_per_s = 0;
    /// The latest response of the upstream named none.
    bool has_ended = false;
    /// Time since that response.
    duration age{};

    friend bool operator==(const permit_request&, const permit_request&) = default;
};

} // namespace snipespar::control
