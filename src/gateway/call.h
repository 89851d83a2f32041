#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace snipespar::gateway {

/// One caller's request, decoded. Immutable once made.
struct call {
    std::string method;
    /// Path and query, as the caller sent them.
    std::string target;
    std::string host;
    /// The caller's name for this attempt.
    std::string request_id;
    /// The key that the caller showed; empty without one.
    std::string key;
    /// How long the caller waits from the moment at which it sent the call.
    std::optional<duration> caller_timeout;
    std::string model;
    /// Empty for calls of the base model.
    std::string adapter;
    /// Set when the caller told the size of a generation.
    bool has_token_count = false;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    /// Hash of the prompt parts that the call shares with others of its session; zero without any.
    std::uint64_t session = 0;
    /// Tokens of those parts.
    std::uint64_t shared_tokens = 0;
    /// Number of the last event that the caller has, when it resumes a stream.
    std::optional<std::uint64_t> last_event;
    /// Header lines that are passed on as they came, each with its line end.
    std::string forwarded_header;
    std::string body;
    bool keep_alive = true;

    /// The part of the target before the query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }

    friend bool operator==(const call&, const call&) = default;
};

} // namespace snipespar::gateway
