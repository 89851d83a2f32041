#pragma once

#include <cstdint>
#include <string>

namespace snipespar::link {

/// The agent is about to send the request to its upstream. From now on it may have run.
struct started {
    std::uint64_t stream = 0;
    /// Version of the upstream's software; empty if it states none.
    std::string software;

    friend bool operator==(const started&, const started&) = default;
};

} // namespace snipespar::link
