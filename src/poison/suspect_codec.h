#pragma once

#include "poison/suspect_digest.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace snipespar::poison {

/// Encodes a digest for a link.
nlohmann::json encode(const suspect_digest& digest);

/// Decodes what encode() gave. Anything else gives InvalidArgument; it never throws.
absl::StatusOr<suspect_digest> decode_suspect_digest(const nlohmann::json& value);

} // namespace snipespar::poison
