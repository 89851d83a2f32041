#pragma once

#include "gateway/upstream_entry.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace snipespar::platform {

/// Decodes what an upstream has announced under its id. Anyone may have written the entry: one
/// with a missing, mistyped or unknown field gives InvalidArgument and names no upstream.
absl::StatusOr<gateway::upstream_entry> decode_upstream_entry(const std::string& id,
                                                              const nlohmann::json& content);

} // namespace snipespar::platform
