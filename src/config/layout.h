#pragma once

#include "config/root.h"

#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <vector>

namespace snipespar::config {

struct snapshot;

/// The bytes of parts, keyed by their hash.
using part_map = std::map<std::string, std::string>;

/// One version split into parts that each fit into one platform value.
struct stored_version {
    std::vector<part_ref> refs;
    part_map parts;

    friend bool operator==(const stored_version&, const stored_version&) = default;
};

/// Splits a snapshot into parts of at most `max_part_bytes`. Adapters, keys and upstreams are split
/// into buckets by the hash of their names, so that one change rewrites few parts. Returns
/// ResourceExhausted when a single entry or the core is too large.
absl::StatusOr<stored_version> split(const snapshot& config, std::size_t max_part_bytes);

/// Reassembles a version. Returns DataLoss when a part is missing, does not match its hash or
/// belongs to another environment.
absl::StatusOr<snapshot> assemble(const root& root, const part_map& parts);

} // namespace snipespar::config
