#pragma once

namespace snipespar::cli {
struct sidecar_settings;
}

namespace snipespar::sidecar {

/// Runs a sidecar until it is stopped by a signal; returns the exit code.
int run_sidecar(const cli::sidecar_settings& settings);

} // namespace snipespar::sidecar
