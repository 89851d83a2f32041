#pragma once

#include "link/frame/header_field.h"
#include "route/lifecycle_action.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace snipespar::entry {

/// Status and headers of a plain service's answer.
struct answer_head {
    int status = 0;
    std::vector<link::header_field> headers;

    friend bool operator==(const answer_head&, const answer_head&) = default;
};

/// One event of an engine's answer, as the engine wrote it.
struct answer_token {
    std::string event;

    friend bool operator==(const answer_token&, const answer_token&) = default;
};

/// A piece of a plain service's body.
struct answer_body {
    std::string bytes;

    friend bool operator==(const answer_body&, const answer_body&) = default;
};

/// The end of the answer, whole or not.
struct answer_end {
    route::finish_request finish;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    std::string finish_reason;
    /// What the last agent said of a failure; empty otherwise.
    std::string detail;

    friend bool operator==(const answer_end&, const answer_end&) = default;
};

/// What a request's session hands to the caller's connection, in order; the end comes once, last.
using answer_part = std::variant<answer_head, answer_token, answer_body, answer_end>;

} // namespace snipespar::entry
