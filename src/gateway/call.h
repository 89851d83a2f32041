#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipespar::gateway {

/// One caller's decoded request. Immutable after construction.
struct call {
    std::string method;
    /// Path and query, as the caller sent them.
    std::string target;
    std::string host;
    /// The caller's name for this attempt.
    std::string request_id;
    /// The caller's API key; empty if none was sent.
    std::string key;
    /// How long the caller waits after sending the call.
    std::optional<duration> caller_timeout;
    std::string model;
    /// Empty for calls of the base model.
    std::string adapter;
    /// Whether the caller stated the token counts of the generation.
    bool has_token_count = false;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    /// Hash of the prompt parts that the call shares with others of its session; 0 if none.
    std::uint64_t session = 0;
    /// Token count of those parts.
    std::uint64_t shared_tokens = 0;
    /// Hash of each of those parts, in their order.
    std::vector<std::uint64_t> shared_parts;
    /// Number of the last event that the caller received, if it resumes a stream.
    std::optional<std::uint64_t> last_event;
    /// The caller's name for the attempt that brought the first event of that stream; empty if not
    /// stated.
    std::string resumes;
    /// Header lines that are forwarded unchanged, each with its line end.
    std::string forwarded_header;
    std::string body;
    bool keep_alive = true;

    /// Whether the caller takes up a stream that it has received a part of.
    bool is_take_up() const { return last_event.has_value() || !resumes.empty(); }

    /// The part of the target before the query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }

    friend bool operator==(const call&, const call&) = default;
};

} // namespace snipespar::gateway
