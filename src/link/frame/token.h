#pragma once

#include <cstdint>
#include <string>

namespace snipespar::link {

/// One generated token of an engine, or several in one event.
struct token {
    std::uint64_t stream = 0;
    /// Position in the whole response, counted from 0 over all attempts.
    std::uint64_t index = 0;
    /// Tokens in this event.
    std::uint64_t count = 0;
    std::string text;

    friend bool operator==(const token&, const token&) = default;
};

} // namespace snipespar::link
