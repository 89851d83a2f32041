#pragma once

#include "control/adapter_demand.h"
#include "control/gateway_usage.h"
#include "control/sidecar_report.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <variant>

namespace snipespar::control {

/// A datagram between gateways and sidecars. Every message states a whole present state, so that a
/// lost, doubled or late one does no harm.
using message = std::variant<adapter_demand, gateway_usage, sidecar_report>;

/// CBOR form of a message.
std::string encode(const message& content);

/// InvalidArgument for bytes that are no message.
absl::StatusOr<message> decode(std::string_view bytes);

} // namespace snipespar::control
