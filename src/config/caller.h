#pragma once

#include "snipespar/ids.h"

namespace snipespar::config {

/// Whose request it is: the owner and public name of the key that came with it.
struct caller {
    team_id team;
    key_id key;

    friend bool operator==(const caller&, const caller&) = default;
};

} // namespace snipespar::config
