#pragma once

#include <string>
#include <string_view>

namespace snipespar {

/// SHA-256 of the bytes, in lower-case hexadecimal.
std::string sha256_hex(std::string_view bytes);

/// Compares two texts in a time that depends on their lengths only.
bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace snipespar
