#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace engine_stand_in {

/// Parsed request for a completion or chat completion.
struct completion_call {
    std::string request_id;
    std::string model;
    std::string prompt;
    std::uint32_t max_tokens = 16;
    /// Index of the first token to send.
    std::uint32_t resume_from = 0;
    /// Lower values run first.
    std::int64_t priority = 0;
    bool stream = false;
    bool chat = false;

    /// Prompt length; four bytes count as one token.
    std::uint32_t prompt_tokens() const;

    /// Returns nullopt when the body is malformed.
    static std::optional<completion_call> parse(const std::string& body, bool chat);
};

} // namespace engine_stand_in
