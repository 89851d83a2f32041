#pragma once

#include "snipespar/ids.h"

namespace snipespar::config {

/// The sender of a request: owner and public name of the key that it used.
struct caller {
    team_id team;
    key_id key;

    friend bool operator==(const caller&, const caller&) = default;
};

} // namespace snipespar::config
