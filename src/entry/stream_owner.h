#pragma once

#include "link/frame.h"
#include "route/lifecycle_action.h"

#include <functional>

namespace snipespar::entry {

/// Callbacks from a stream on a link to the request that owns it. They are called on the links'
/// thread and must only post to the request's executor.
struct stream_owner {
    std::function<void(link::frame)> received;
    /// The link was lost, or there was none; `sent` is whether any byte may have been sent.
    std::function<void(bool sent)> lost;
};

} // namespace snipespar::entry
