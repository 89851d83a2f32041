#pragma once

#include "limits/allocation_table.h"
#include "limits/messages.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace snipespar::limits {

/// Encodes the body of a message between two processes.
nlohmann::json encode(const message_body& body);

/// Decodes the output of `encode`. Returns InvalidArgument with the field's path for a missing or
/// ill-typed field, an unknown kind, or an amount or slot out of range; never throws.
absl::StatusOr<message_body> decode_message(const nlohmann::json& value);

/// Encodes a message with its sender and receiver.
nlohmann::json encode(const peer_message& message);

/// Decodes a message with its sender and receiver; errors as above.
absl::StatusOr<peer_message> decode_envelope(const nlohmann::json& value);

/// Encodes a group's allocation table as the platform stores it.
nlohmann::json encode(const allocation_table& table);

/// Decodes a stored allocation table; errors as above.
absl::StatusOr<allocation_table> decode_table(const nlohmann::json& value);

} // namespace snipespar::limits
