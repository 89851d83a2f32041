#pragma once

#include "link/frame.h"
#include "route/lifecycle_action.h"

#include <functional>

namespace snipespar::entry {

/// How a stream on a link reaches the request that it belongs to. The functions are called on the
/// links' thread and must only post to the request's own.
struct stream_owner {
    std::function<void(link::frame)> received;
    /// The link is gone, or there was none; `sent` tells whether a byte may have gone out.
    std::function<void(bool sent)> lost;
};

} // namespace snipespar::entry
