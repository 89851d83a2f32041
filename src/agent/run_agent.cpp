#include "agent/run_agent.h"

#include "cli/exit_code.h"

#include <fmt/core.h>

namespace snipespar::agent {

int run_agent(const cli::agent_settings& /*settings*/)
{
    fmt::print(stderr, "level=error event=not_built_yet command=agent\n");
    return static_cast<int>(cli::exit_code::failed);
}

} // namespace snipespar::agent
