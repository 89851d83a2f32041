#pragma once

namespace snipespar::cli {
struct entry_settings;
} // namespace snipespar::cli

namespace snipespar::entry {

/// Serves callers until a graceful stop completes. Returns the process's exit code.
int run_entry(const cli::entry_settings& settings);

} // namespace snipespar::entry
