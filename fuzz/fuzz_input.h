#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace snipespar::fuzz {

/// The input of a target as text.
inline std::string_view to_text(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

/// Ends the process, which the fuzzer reports with the input, unless the property holds.
inline void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

/// An input whose first two bytes choose the places at which the rest is cut.
class cut_text {
public:
    explicit cut_text(std::string_view input)
        : text_(input.substr(std::min(input.size(), length_bytes)))
    {
        for (std::size_t i = 0; i < std::min(input.size(), length_bytes); ++i) {
            (i == 0 ? first_ : second_) = 1 + static_cast<std::uint8_t>(input[i]) % max_piece_bytes;
        }
    }

    std::string_view text() const { return text_; }

    /// Calls `take(piece)` for each piece, in order.
    template <class Take>
    void each_piece(Take take) const
    {
        auto rest = text_;
        auto length = first_;
        auto next = second_;
        while (!rest.empty()) {
            const auto piece = rest.substr(0, length);
            take(piece);
            rest.remove_prefix(piece.size());
            std::swap(length, next);
        }
    }

private:
    static constexpr std::size_t length_bytes = 2;
    static constexpr std::size_t max_piece_bytes = 64;

    std::string_view text_;
    std::size_t first_ = 1;
    std::size_t second_ = 1;
};

} // namespace snipespar::fuzz
