#include "operator/run_operator.h"

#include "cli/exit_code.h"

#include <fmt/core.h>

namespace snipespar::operators {

int run_operator(const cli::operator_settings& /*settings*/)
{
    fmt::print(stderr, "level=error event=not_built_yet command=operator\n");
    return static_cast<int>(cli::exit_code::failed);
}

} // namespace snipespar::operators
