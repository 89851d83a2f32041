#pragma once

#include "snipespar/finding.h"

namespace snipespar::config {

struct snapshot;

/// Checks that every name in the configuration that refers to something else refers to something
/// that exists, and that no two entries claim the same address or prefix. Places are paths such as
/// `adapters.summary.grants.north`.
findings check_references(const snapshot& config);

} // namespace snipespar::config
