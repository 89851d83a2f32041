#pragma once

#include "poison/suspect_digest.h"

#include <vector>

namespace snipespar::gateway {

/// Fingerprints of one request to which crashes of upstreams may be attributed.
struct request_prints {
    /// Equal for every copy of the request that its team sends.
    poison::fingerprint request = 0;
    /// Each part of its prompt that other requests may share.
    std::vector<poison::fingerprint> parts;
    /// Equal for every copy of the request, whichever team sends it; 0 if not known.
    poison::fingerprint content = 0;

    friend bool operator==(const request_prints&, const request_prints&) = default;
};

} // namespace snipespar::gateway
