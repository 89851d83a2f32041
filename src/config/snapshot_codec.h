#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace snipespar::config {

struct snapshot;

/// Writes a snapshot, or a fragment of one, as canonical JSON: equal snapshots give equal bytes.
/// Keys appear by their hash only.
std::string encode(const snapshot& config);

/// Reads what encode() wrote. Returns InvalidArgument with the path of the first fault for anything
/// else; never throws.
absl::StatusOr<snapshot> decode_snapshot(std::string_view text);

} // namespace snipespar::config
