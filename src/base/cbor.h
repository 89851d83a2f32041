#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace snipespar {

/// Encodes a value in CBOR.
std::string to_cbor(const nlohmann::json& value);

/// Decodes one CBOR value. Malformed input, trailing bytes and nesting deeper than 32 levels give
/// InvalidArgument; it never throws.
absl::StatusOr<nlohmann::json> from_cbor(std::string_view bytes);

} // namespace snipespar
