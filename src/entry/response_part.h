#pragma once

#include "link/frame/header_field.h"
#include "route/lifecycle_action.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace snipespar::entry {

/// Status and headers of a plain service's response.
struct response_start {
    int status = 0;
    std::vector<link::header_field> headers;

    friend bool operator==(const response_start&, const response_start&) = default;
};

/// One event of an engine's response, as sent by the engine.
struct response_token {
    std::string event;

    friend bool operator==(const response_token&, const response_token&) = default;
};

/// A chunk of a plain service's body.
struct response_body {
    std::string bytes;

    friend bool operator==(const response_body&, const response_body&) = default;
};

/// The end of the response, complete or not.
struct response_end {
    route::finish_request finish;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    std::string finish_reason;
    /// The last agent's reason for a failure; empty otherwise.
    std::string detail;

    friend bool operator==(const response_end&, const response_end&) = default;
};

/// What a request's session passes to the caller's connection, in order; the end comes once, last.
using response_part = std::variant<response_start, response_token, response_body, response_end>;

} // namespace snipespar::entry
