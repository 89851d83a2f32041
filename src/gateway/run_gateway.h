#pragma once

namespace snipespar::cli {
struct gateway_settings;
}

namespace snipespar::gateway {

/// Runs a gateway until it is told to stop; returns the exit code.
int run_gateway(const cli::gateway_settings& settings);

} // namespace snipespar::gateway
