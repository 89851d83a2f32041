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

/// Number of an attempt of a request, from 1; 0 means no attempt.
using attempt_number = std::uint32_t;

/// Why a request ended.
enum class finish_reason {
    /// The whole response was delivered.
    complete,
    /// No upstream is currently available for the request.
    no_upstream,
    /// Every upstream that was tried refused the request.
    refused,
    /// The retry budget or the maximum number of attempts is exhausted.
    retries_exhausted,
    /// The upstream was lost and the request may not be retried.
    upstream_lost,
    /// The upstream made no progress and the request may not be retried.
    upstream_silent,
    /// The response was truncated or inconsistent.
    bad_answer,
    deadline_exceeded,
    key_withdrawn,
    caller_gone,
};

/// Name used in logs, metrics and response bodies.
std::string_view to_string(finish_reason reason);

/// Ask the ranking for an upstream that has not been tried; the result goes to on_choice().
struct choose_upstream {
    std::vector<upstream_id> tried;
    /// The software version that began the stream; empty if any upstream can run the request.
    std::string software = {};

    friend bool operator==(const choose_upstream&, const choose_upstream&) = default;
};

/// Send the request to an upstream's agent.
struct send_attempt {
    attempt_number attempt = 0;
    upstream_id upstream;
    /// Number of tokens already forwarded to the caller.
    std::uint64_t resume_from = 0;
    /// The software version that produced these tokens; empty if there are none.
    std::string software = {};

    friend bool operator==(const send_attempt&, const send_attempt&) = default;
};

/// Cancel an attempt; further output of it is discarded.
struct cancel_attempt {
    attempt_number attempt = 0;
    upstream_id upstream;

    friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;
};

/// Forward the current token to the caller.
struct forward_token {
    std::uint64_t index = 0;

    friend bool operator==(const forward_token&, const forward_token&) = default;
};

/// Forward the status and headers of a plain service to the caller.
struct forward_head {
    int status = 0;

    friend bool operator==(const forward_head&, const forward_head&) = default;
};

/// Forward the current body chunk to the caller.
struct forward_body {
    std::uint64_t offset = 0;
    std::uint64_t size = 0;

    friend bool operator==(const forward_body&, const forward_body&) = default;
};

/// The single final response. If part of the response was already sent, the status can no longer
/// be sent: the error is sent in the stream, or the connection is closed.
struct finish_request {
    /// HTTP status; that of the service if it responded.
    int status = 0;
    run_state ran = run_state::unknown;
    finish_reason reason = finish_reason::complete;
    /// When the caller should retry; empty if a retry is unsafe or of no use.
    std::optional<duration> retry_after;
    /// Whether the status or part of the response was sent before.
    bool answer_begun = false;

    friend bool operator==(const finish_request&, const finish_request&) = default;
};

/// Action for the caller of the state machine to perform, in the order returned.
using lifecycle_action = std::variant<choose_upstream, send_attempt, cancel_attempt, forward_token,
                                      forward_head, forward_body, finish_request>;
using lifecycle_actions = std::vector<lifecycle_action>;

} // namespace snipespar::route
