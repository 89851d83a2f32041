#pragma once

#include <string>
#include <string_view>

namespace snipespar {

class secret;

/// SHA-256 of the bytes, in lower-case hexadecimal.
std::string sha256_hex(std::string_view bytes);

/// HMAC-SHA-256 of the message, as 32 raw bytes.
std::string hmac_sha256(const secret& key, std::string_view message);

/// Compares in time that depends only on the lengths.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// Bytes from the operating system's random source.
std::string random_bytes(std::size_t count);

/// Lower-case hexadecimal form of the bytes.
std::string to_hex(std::string_view bytes);

} // namespace snipespar
