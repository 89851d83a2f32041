#pragma once

#include "gateway/upstream_entry.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace snipespar::platform {

/// Decodes the entry that an upstream has announced under its id. Anyone may have written it, so a
/// name that no upstream may have, a missing or mistyped field or an unknown state gives
/// InvalidArgument.
absl::StatusOr<gateway::upstream_entry> decode_upstream_entry(const std::string& id,
                                                              const nlohmann::json& content);

} // namespace snipespar::platform
