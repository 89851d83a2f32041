#pragma once

#include "link/role.h"
#include "snipespar/ids.h"

#include <string>

namespace snipespar::link {

/// Ends the handshake: the listening side proves that it holds the fleet secret too.
struct welcome {
    role sender_role = role::agent;
    incarnation sender;
    std::string proof;

    friend bool operator==(const welcome&, const welcome&) = default;
};

} // namespace snipespar::link
