#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace snipespar::platform {

/// One object of the platform's store, or its removal.
struct watched_object {
    std::string name;
    /// The value that its writer stored; null for a removed or unreadable object, and if only the
    /// text was asked for.
    nlohmann::json content;
    /// Its JSON text, which has not been checked, if that was asked for.
    std::string text;
    bool is_removed = false;
};

} // namespace snipespar::platform
