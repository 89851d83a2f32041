#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::config {

/// A stored part of one version, addressed by the hash of its bytes.
struct part_ref {
    /// Its content: `core`, or a kind and its hash bucket such as `adapters-2-of-8`.
    std::string name;
    std::string sha256;

    friend bool operator==(const part_ref&, const part_ref&) = default;
};

/// The object that makes a version the accepted one. It is changed by one conditional update after
/// all parts were written, so that a version becomes visible atomically.
struct root {
    std::uint64_t version = 0;
    std::string environment;
    std::vector<part_ref> parts;
    /// Nonces of the latest writers, newest last. A writer whose response was lost finds out by its
    /// nonce that its change was accepted.
    std::vector<std::string> writers;

    friend bool operator==(const root&, const root&) = default;
};

/// Maximum number of writers listed in a root.
inline constexpr std::size_t max_root_writers = 64;

/// Key of the root object of an environment.
std::string root_key(std::string_view environment);

/// Prefix of the keys of all parts of an environment.
std::string part_prefix(std::string_view environment);

/// Key of one part.
std::string part_key(std::string_view environment, std::string_view sha256);

/// Serializes a root for storage.
std::string encode(const root& value);

/// Parses the output of encode(); InvalidArgument for anything else.
absl::StatusOr<root> decode_root(std::string_view text);

} // namespace snipespar::config
