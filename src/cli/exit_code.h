#pragma once

namespace snipespar::cli {

/// How the program ends, for scripts.
enum class exit_code {
    ok = 0,
    /// The work failed while it ran, such as a listener that cannot be opened.
    failed = 1,
    /// A bad command line or bad settings; nothing was started.
    usage = 2,
    /// A document or a change was refused; nothing was changed.
    refused = 3,
    /// The platform could not be reached.
    unreachable = 4,
};

} // namespace snipespar::cli
