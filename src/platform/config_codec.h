#pragma once

#include "gateway/fleet_config.h"

#include <absl/status/statusor.h>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace snipespar::platform {

/// Decodes the operator's configuration. InvalidArgument names the first invalid field.
absl::StatusOr<std::shared_ptr<const gateway::fleet_config>>
decode_config(const nlohmann::json& content);

} // namespace snipespar::platform
