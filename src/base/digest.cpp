#include "base/digest.h"

#include "base/secret.h"

#include <array>
#include <cstdlib>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace snipespar {

namespace {

using digest_buffer = std::array<unsigned char, EVP_MAX_MD_SIZE>;

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string as_string(const digest_buffer& buffer, unsigned length)
{
    return {buffer.begin(), buffer.begin() + length};
}

} // namespace

std::string to_hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += digits[value >> 4U];
        text += digits[value & 0xfU];
    }
    return text;
}

std::string sha256_hex(std::string_view bytes)
{
    digest_buffer buffer{};
    unsigned length = 0;
    EVP_Digest(bytes.data(), bytes.size(), buffer.data(), &length, EVP_sha256(), nullptr);
    return to_hex(as_string(buffer, length));
}

std::string hmac_sha256(const secret& key, std::string_view message)
{
    digest_buffer buffer{};
    unsigned length = 0;
    const auto key_bytes = key.reveal();
    HMAC(EVP_sha256(), key_bytes.data(), static_cast<int>(key_bytes.size()), as_bytes(message),
         message.size(), buffer.data(), &length);
    return as_string(buffer, length);
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_bytes(std::size_t count)
{
    std::string bytes(count, '\0');
    auto* data = reinterpret_cast<unsigned char*>(bytes.data());
    if (RAND_bytes(data, static_cast<int>(count)) != 1) {
        std::abort(); // Without randomness neither keys nor nonces are safe.
    }
    return bytes;
}

} // namespace snipespar
