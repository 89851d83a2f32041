#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace engine_stand_in {

/// One completion or chat completion, as asked for.
struct completion_call {
    std::string request_id;
    std::string model;
    std::string prompt;
    std::uint32_t max_tokens = 16;
    /// Index of the first token to send.
    std::uint32_t resume_from = 0;
    /// Lower runs first.
    std::int64_t priority = 0;
    bool stream = false;
    bool chat = false;

    /// Prompt length; four bytes count as one token.
    std::uint32_t prompt_tokens() const;

    /// Nothing when the body is not a well-formed call.
    static std::optional<completion_call> parse(const std::string& body, bool chat);
};

} // namespace engine_stand_in
