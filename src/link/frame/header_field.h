#pragma once

#include <string>

namespace snipespar::link {

/// One HTTP header as it is passed on.
struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field&, const header_field&) = default;
};

} // namespace snipespar::link
