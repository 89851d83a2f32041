#pragma once

#include <string>

namespace snipespar::resume {

/// Where the first event of a stream came from. Only upstreams of this service and software version
/// can continue it.
struct stream_origin {
    std::string service;
    std::string software;

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

} // namespace snipespar::resume
