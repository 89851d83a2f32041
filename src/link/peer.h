#pragma once

#include "link/role.h"
#include "snipespar/ids.h"

namespace snipespar::link {

/// The process at the other end of a link, as authenticated in the handshake.
struct peer {
    role process_role = role::entry;
    incarnation process;

    friend bool operator==(const peer&, const peer&) = default;
};

} // namespace snipespar::link
