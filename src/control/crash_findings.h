#pragma once

#include "poison/suspect_digest.h"

namespace snipespar::control {

/// Message between gateways, and to and from the sidecars that keep it for them: requests that were
/// in flight when upstreams crashed.
struct crash_findings {
    poison::suspect_digest suspects;

    friend bool operator==(const crash_findings&, const crash_findings&) = default;
};

} // namespace snipespar::control
