#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace snipespar::claims {

/// The first 128 bits of a SHA-256, by which keys and requests are compared.
struct digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const digest&, const digest&) = default;
    friend bool operator==(const digest&, const digest&) = default;
};

/// Digest of `bytes`.
digest digest_of(std::string_view bytes);

/// 32 lower-case hexadecimal digits.
std::string to_string(const digest& value);

/// Reads the form written by to_string(); empty if the text is anything else.
std::optional<digest> parse_digest(std::string_view text);

} // namespace snipespar::claims

template <>
struct std::hash<snipespar::claims::digest> {
    std::size_t operator()(const snipespar::claims::digest& value) const noexcept
    {
        return value.low;
    }
};
