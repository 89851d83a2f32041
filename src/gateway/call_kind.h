#pragma once

namespace snipespar::gateway {

/// What may be done with a call whose outcome is unknown.
enum class call_kind {
    /// May run any number of times.
    safe,
    /// May run at most once.
    unsafe,
    /// Answered by a stream of events; runs at most once unless its route can be resumed.
    stream,
};

} // namespace snipespar::gateway
