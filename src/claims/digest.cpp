#include "claims/digest.h"

#include <array>
#include <fmt/core.h>
#include <openssl/sha.h>

namespace snipespar::claims {

namespace {

constexpr std::size_t half_digits = 16;
constexpr std::size_t half_bytes = 8;
constexpr unsigned byte_bits = 8;
constexpr unsigned digit_bits = 4;
constexpr std::string_view hexadecimal_digits = "0123456789abcdef";

std::uint64_t read_half(const unsigned char* bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < half_bytes; ++i) {
        value = (value << byte_bits) | bytes[i];
    }
    return value;
}

std::optional<std::uint64_t> parse_half(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char digit : text) {
        const auto position = hexadecimal_digits.find(digit);
        if (position == std::string_view::npos) {
            return std::nullopt;
        }
        value = (value << digit_bits) | position;
    }
    return value;
}

} // namespace

digest digest_of(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), hash.data());
    return {read_half(hash.data()), read_half(hash.data() + half_bytes)};
}

std::string to_string(const digest& value)
{
    return fmt::format("{:016x}{:016x}", value.high, value.low);
}

std::optional<digest> parse_digest(std::string_view text)
{
    if (text.size() != 2 * half_digits) {
        return std::nullopt;
    }
    const auto high = parse_half(text.substr(0, half_digits));
    const auto low = parse_half(text.substr(half_digits));
    if (!high || !low) {
        return std::nullopt;
    }
    return digest{*high, *low};
}

} // namespace snipespar::claims
