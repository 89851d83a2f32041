#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace snipespar::config {

struct snapshot;

/// Serializes a snapshot, or a fragment of one, to canonical JSON: equal snapshots give equal
/// bytes. Keys appear only as hashes.
std::string encode(const snapshot& config);

/// Parses the output of encode(). Returns InvalidArgument with the path of the first fault for
/// anything else; never throws.
absl::StatusOr<snapshot> decode_snapshot(std::string_view text);

} // namespace snipespar::config
