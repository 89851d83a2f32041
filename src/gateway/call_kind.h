#pragma once

namespace snipespar::gateway {

/// Whether a call whose outcome is unknown may be repeated.
enum class call_kind {
    /// May run any number of times.
    safe,
    /// May run at most once.
    unsafe,
    /// The response is a stream of events; runs at most once unless its route is resumable.
    stream,
};

} // namespace snipespar::gateway
