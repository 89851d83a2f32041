#pragma once

namespace snipespar::cli {

/// Exit codes of the program, for scripts.
enum class exit_code {
    ok = 0,
    /// A failure at run time, such as a listener that cannot be opened.
    failed = 1,
    /// An invalid command line or invalid settings; nothing was started.
    usage = 2,
    /// A document or a change was refused; nothing was changed.
    refused = 3,
    /// The platform could not be reached.
    unreachable = 4,
};

} // namespace snipespar::cli
