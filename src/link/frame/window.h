#pragma once

#include <cstdint>

namespace snipespar::link {

/// Flow control: allows the sender of a stream to send more bytes.
struct window {
    std::uint64_t stream = 0;
    std::uint64_t bytes = 0;

    friend bool operator==(const window&, const window&) = default;
};

} // namespace snipespar::link
