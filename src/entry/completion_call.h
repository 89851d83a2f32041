#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipespar::entry {

/// What the entry needs to know of a completion or chat completion.
struct completion_call {
    /// `adapter` or `adapter@version`, as the caller wrote it.
    std::string model;
    bool chat = false;
    bool stream = false;
    /// Most tokens to generate.
    std::uint64_t max_tokens = 0;
    /// No prompt has more tokens than this: one for each byte of its text.
    std::uint64_t max_prompt_tokens = 0;
    /// Hash of the start of the prompt.
    std::uint64_t prefix_hash = 0;

    friend bool operator==(const completion_call&, const completion_call&) = default;
};

/// Tokens generated at most when the caller does not say.
inline constexpr std::uint64_t default_max_tokens = 256;

/// Reads the JSON body of a call. InvalidArgument names the field at fault.
absl::StatusOr<completion_call> parse_completion_call(std::string_view body, bool chat);

} // namespace snipespar::entry
