#pragma once

#include "snipespar/ids.h"

#include <string>
#include <vector>

namespace snipespar::config {

/// Forwards requests below a path prefix to a plain service.
struct route {
    route_id id;
    /// Starts with '/'; the longest matching prefix wins.
    std::string path_prefix;
    /// Name of the service; upstreams of kind `service` with this name serve it.
    std::string service;
    /// HTTP methods whose calls may be retried without further effect.
    std::vector<std::string> idempotent_methods;
    /// Whether requests need no key.
    bool open_to_all = false;

    friend bool operator==(const route&, const route&) = default;
};

} // namespace snipespar::config
