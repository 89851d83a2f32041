#pragma once

#include "sidecar/engine_order.h"
#include "sidecar/engine_report.h"

#include <absl/status/statusor.h>
#include <string>

namespace snipespar::platform {

/// Path of an engine's report.
inline constexpr std::string_view engine_report_path = "/report";
/// Path to which orders are posted.
inline constexpr std::string_view engine_order_path = "/order";

/// Header field with the id of the only engine that may execute the order.
inline constexpr auto engine_order_upstream_field = "Expect-Instance";

/// Decodes an engine's report. InvalidArgument names the first invalid field.
absl::StatusOr<sidecar::engine_report> decode_engine_report(const std::string& text);

/// Encodes the body of an order. `holder` is the name of the host that sends it.
std::string encode_order(const sidecar::engine_order& order, const std::string& holder);

} // namespace snipespar::platform
