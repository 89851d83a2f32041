#pragma once

#include "snipespar/ids.h"

#include <string>

namespace snipespar::config {

/// A caller's key as stored: its public name, its owner and its hash.
struct api_key {
    key_id id;
    team_id team;
    /// Lower-case hexadecimal SHA-256 of the whole key as callers send it.
    std::string sha256;
    bool withdrawn = false;

    friend bool operator==(const api_key&, const api_key&) = default;
};

} // namespace snipespar::config
