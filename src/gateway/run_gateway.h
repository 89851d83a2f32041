#pragma once

namespace snipespar::cli {
struct gateway_settings;
}

namespace snipespar::gateway {

/// Runs a gateway until it is stopped by a signal; returns the exit code.
int run_gateway(const cli::gateway_settings& settings);

} // namespace snipespar::gateway
