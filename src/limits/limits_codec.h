#pragma once

#include "limits/allocation_table.h"
#include "limits/messages.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace snipespar::limits {

/// Renders the body of a message between two processes.
nlohmann::json encode(const message_body& body);

/// Reads what `encode` wrote. A missing or ill-typed field, an unknown kind, an amount or slot out
/// of range gives InvalidArgument with its path; it never throws.
absl::StatusOr<message_body> decode_message(const nlohmann::json& value);

/// Renders a message with its sender and receiver.
nlohmann::json encode(const peer_message& message);

/// Reads a message with its sender and receiver; errors as above.
absl::StatusOr<peer_message> decode_envelope(const nlohmann::json& value);

/// Renders a group's allocation table as the platform stores it.
nlohmann::json encode(const allocation_table& table);

/// Reads a stored allocation table; errors as above.
absl::StatusOr<allocation_table> decode_table(const nlohmann::json& value);

} // namespace snipespar::limits
