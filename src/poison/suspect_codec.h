#pragma once

#include "poison/suspect_digest.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace snipespar::poison {

/// Encodes a digest to be sent on a link.
nlohmann::json encode(const suspect_digest& digest);

/// Decodes the output of encode(). Returns InvalidArgument for anything else; never throws.
absl::StatusOr<suspect_digest> decode_suspect_digest(const nlohmann::json& value);

} // namespace snipespar::poison
