#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipespar::entry {

/// The fields of a completion or chat completion that the entry needs.
struct completion_call {
    /// `adapter` or `adapter@version`, as the caller wrote it.
    std::string model;
    bool chat = false;
    bool stream = false;
    /// Maximum number of tokens to generate.
    std::uint64_t max_tokens = 0;
    /// Upper bound of the prompt's tokens: one per byte of its text.
    std::uint64_t max_prompt_tokens = 0;
    /// Hash of the start of the prompt.
    std::uint64_t prefix_hash = 0;

    friend bool operator==(const completion_call&, const completion_call&) = default;
};

/// Maximum number of generated tokens if the caller sets none.
inline constexpr std::uint64_t default_max_tokens = 256;

/// Parses the JSON body of a call. InvalidArgument names the invalid field.
absl::StatusOr<completion_call> parse_completion_call(std::string_view body, bool chat);

} // namespace snipespar::entry
