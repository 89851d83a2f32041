#pragma once

#include "cli/exit_code.h"
#include "cli/operator_settings.h"

namespace snipespar::operators {

/// Asks a gateway where a request would go, and prints the answer.
cli::exit_code run_explain(const cli::explain_command& command);

} // namespace snipespar::operators
