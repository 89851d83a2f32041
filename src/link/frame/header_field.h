#pragma once

#include <string>

namespace snipespar::link {

/// One HTTP header field that is forwarded.
struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field&, const header_field&) = default;
};

} // namespace snipespar::link
