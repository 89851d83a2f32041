#pragma once

#include "snipespar/finding.h"

namespace snipespar::config {

struct snapshot;

/// Checks that every reference in the configuration resolves and that no two entries use the same
/// address or prefix. Places in the findings are paths such as `adapters.summary.grants.north`.
findings check_references(const snapshot& config);

} // namespace snipespar::config
