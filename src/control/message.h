#pragma once

#include "control/adapter_demand.h"
#include "control/gateway_usage.h"
#include "control/sidecar_report.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <variant>

namespace snipespar::control {

/// A datagram between gateways and sidecars. Every message contains a complete state, so that lost,
/// duplicate or late ones are harmless.
using message = std::variant<adapter_demand, gateway_usage, sidecar_report>;

/// Encodes a message as CBOR.
std::string encode(const message& content);

/// Returns InvalidArgument for bytes that are not a valid message.
absl::StatusOr<message> decode(std::string_view bytes);

} // namespace snipespar::control
