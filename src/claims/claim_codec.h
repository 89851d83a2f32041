#pragma once

#include "claims/claim_message.h"
#include "claims/journal_action.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace snipespar::claims {

/// Encodes a journal object in the form that the platform stores.
nlohmann::json encode(const object_value& value);

/// Decodes a journal object; an invalid-argument error names the member that is invalid.
absl::StatusOr<object_value> decode_object(const nlohmann::json& value);

/// Encodes a message in the form that the links between entries carry.
nlohmann::json encode(const claim_message& message);

/// Decodes a message; an invalid-argument error names the member that is invalid.
absl::StatusOr<claim_message> decode_message(const nlohmann::json& value);

} // namespace snipespar::claims
