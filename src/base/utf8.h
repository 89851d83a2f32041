#pragma once

#include <string_view>

namespace snipespar {

/// Whether the text is well-formed UTF-8 (RFC 3629): no overlong forms, no surrogates.
bool is_utf8(std::string_view text);

} // namespace snipespar
