#include "base/sha256.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace snipespar {

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned nibble_bits = 4;
    constexpr unsigned nibble_mask = 0xf;
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned byte : digest) {
        text += digits[byte >> nibble_bits];
        text += digits[byte & nibble_mask];
    }
    return text;
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace snipespar
