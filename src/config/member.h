#pragma once

#include "snipespar/ids.h"

#include <compare>

namespace snipespar::config {

/// A process that calls the platform itself, identified by its host.
struct member {
    host_id host;
    snipespar::failure_domain_id failure_domain;

    friend auto operator<=>(const member&, const member&) = default;
    friend bool operator==(const member&, const member&) = default;
};

} // namespace snipespar::config
