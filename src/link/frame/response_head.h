#pragma once

#include "link/frame/header_field.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipespar::link {

/// Status and headers of a plain service.
struct response_head {
    std::uint64_t stream = 0;
    std::uint32_t status = 0;
    std::vector<header_field> headers;

    friend bool operator==(const response_head&, const response_head&) = default;
};

} // namespace snipespar::link
