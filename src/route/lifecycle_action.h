#pragma once

#include "snipespar/ids.h"
#include "snipespar/run_state.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace snipespar::route {

/// Number of one try of a request at one upstream, from 1; 0 names no attempt.
using attempt_number = std::uint32_t;

/// Why a request ended.
enum class finish_reason {
    /// The whole answer was delivered.
    complete,
    /// No upstream may take the request now.
    no_upstream,
    /// Every upstream that was asked refused it.
    refused,
    /// The retry budget or the number of attempts is used up.
    retries_exhausted,
    /// The upstream was lost and the request may not be sent again.
    upstream_lost,
    /// The upstream made no progress and the request may not be sent again.
    upstream_silent,
    /// The answer ended early or contradicted itself.
    bad_answer,
    deadline_exceeded,
    key_withdrawn,
    caller_gone,
};

/// The form used in logs, metrics and answer bodies.
std::string_view to_string(finish_reason reason);

/// Ask the ranking for an upstream that is not among those tried, and report it by on_choice().
struct choose_upstream {
    std::vector<upstream_id> tried;

    friend bool operator==(const choose_upstream&, const choose_upstream&) = default;
};

/// Hand the request to an upstream's agent.
struct send_attempt {
    attempt_number attempt = 0;
    upstream_id upstream;
    /// Tokens that the caller already has.
    std::uint64_t resume_from = 0;

    friend bool operator==(const send_attempt&, const send_attempt&) = default;
};

/// Stop an attempt; what it still answers is of no use.
struct cancel_attempt {
    attempt_number attempt = 0;
    upstream_id upstream;

    friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;
};

/// Pass the token at hand on to the caller.
struct forward_token {
    std::uint64_t index = 0;

    friend bool operator==(const forward_token&, const forward_token&) = default;
};

/// Pass the status and headers of a plain service on to the caller.
struct forward_head {
    int status = 0;

    friend bool operator==(const forward_head&, const forward_head&) = default;
};

/// Pass the piece of body at hand on to the caller.
struct forward_body {
    std::uint64_t offset = 0;
    std::uint64_t size = 0;

    friend bool operator==(const forward_body&, const forward_body&) = default;
};

/// The one final answer. When part of the answer already went out, the status can no longer be
/// sent: the error goes into the stream, or the connection is cut.
struct finish_request {
    /// HTTP status; that of the service when it answered.
    int status = 0;
    run_state ran = run_state::unknown;
    finish_reason reason = finish_reason::complete;
    /// When the caller should come back; empty where asking again is of no use.
    std::optional<duration> retry_after;
    /// Whether the status or part of the answer went out before.
    bool answer_begun = false;

    friend bool operator==(const finish_request&, const finish_request&) = default;
};

/// What the shell has to do next, in the order returned.
using lifecycle_action = std::variant<choose_upstream, send_attempt, cancel_attempt, forward_token,
                                      forward_head, forward_body, finish_request>;
using lifecycle_actions = std::vector<lifecycle_action>;

} // namespace snipespar::route
