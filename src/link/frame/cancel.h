#pragma once

#include <cstdint>

namespace snipespar::link {

/// The entry cancels a stream.
struct cancel {
    std::uint64_t stream = 0;

    friend bool operator==(const cancel&, const cancel&) = default;
};

} // namespace snipespar::link
