#pragma once

#include "link/frame/header_field.h"

#include <string>
#include <string_view>
#include <vector>

namespace snipespar::entry {

/// A caller's complete HTTP request.
struct caller_request {
    std::string method;
    /// Path and query, as sent.
    std::string target;
    std::vector<link::header_field> headers;
    std::string body;

    /// The first header of that name, in any case; empty when there is none.
    std::string_view header(std::string_view name) const;

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

} // namespace snipespar::entry
