#include "entry/run_entry.h"

#include "cli/exit_code.h"

#include <fmt/core.h>

namespace snipespar::entry {

int run_entry(const cli::entry_settings& /*settings*/)
{
    fmt::print(stderr, "level=error event=not_built_yet command=entry\n");
    return static_cast<int>(cli::exit_code::failed);
}

} // namespace snipespar::entry
