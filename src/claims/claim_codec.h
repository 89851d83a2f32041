#pragma once

#include "claims/claim_message.h"
#include "claims/journal_action.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace snipespar::claims {

/// Writes a journal object in the form that the platform keeps.
nlohmann::json encode(const object_value& value);

/// Reads a journal object; an invalid-argument error names what is wrong with it.
absl::StatusOr<object_value> decode_object(const nlohmann::json& value);

/// Writes a message in the form that the links between entries carry.
nlohmann::json encode(const claim_message& message);

/// Reads a message; an invalid-argument error names what is wrong with it.
absl::StatusOr<claim_message> decode_message(const nlohmann::json& value);

} // namespace snipespar::claims
