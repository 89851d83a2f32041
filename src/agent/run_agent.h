#pragma once

namespace snipespar::cli {
struct agent_settings;
} // namespace snipespar::cli

namespace snipespar::agent {

/// Serves one upstream until a graceful shutdown completes. Returns the process's exit code.
int run_agent(const cli::agent_settings& settings);

} // namespace snipespar::agent
