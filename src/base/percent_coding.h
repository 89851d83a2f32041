#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

/// Percent-encoding of texts in the query of a URL (RFC 3986).
namespace snipespar {

/// Encodes all bytes but letters, digits and `-._~`.
std::string percent_encode(std::string_view text);

/// Invalid argument: a `%` without two hexadecimal digits.
absl::StatusOr<std::string> percent_decode(std::string_view text);

} // namespace snipespar
