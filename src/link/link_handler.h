#pragma once

#include "link/frame.h"

#include <functional>
#include <memory>
#include <string>

namespace snipespar::link {

class link;

using link_ptr = std::shared_ptr<const link>;

/// Events of an endpoint's links. All are called on the endpoint's thread; for each link `up` comes
/// first, then any number of `received`, then `down` exactly once.
struct link_handler {
    std::function<void(const link_ptr&)> up;
    std::function<void(const link_ptr&, frame)> received;
    std::function<void(const link_ptr&, const std::string& reason)> down;
};

} // namespace snipespar::link
