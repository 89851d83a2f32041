#pragma once

#include <string_view>

namespace snipespar {

/// What is known about whether a request ran on an upstream. `not_run` is a guarantee, given only
/// by the process that held the request before any byte of it was forwarded.
enum class run_state {
    not_run,
    ran,
    unknown,
};

/// The form used in the `Snipespar-Run` response header and on links.
constexpr std::string_view to_string(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return "not-run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace snipespar
