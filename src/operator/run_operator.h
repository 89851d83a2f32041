#pragma once

#include "cli/operator_settings.h"

namespace snipespar::operators {

/// Runs one operator command and prints its result. Returns the process's exit code.
int run_operator(const cli::operator_settings& settings);

} // namespace snipespar::operators
