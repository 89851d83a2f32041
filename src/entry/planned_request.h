#pragma once

#include "entry/upstream_chooser.h"
#include "link/frame/run_request.h"
#include "route/request_lifecycle.h"

#include <cstdint>
#include <string>

namespace snipespar::entry {

/// A request that the configuration allows, ready to be admitted and sent.
struct planned_request {
    route::request_facts facts;
    upstream_need need;
    link::run_request run;
    /// Tokens to reserve from the team's budget; 0 for plain services.
    std::uint64_t budget_tokens = 0;
    /// Whether the caller requested the engine's response as server-sent events.
    bool stream = false;
    bool chat = false;
    /// The caller's key for retries of a call that is not idempotent; may be empty.
    std::string idempotency_key;

    bool is_completion() const { return facts.answer == route::answer_kind::tokens; }

    friend bool operator==(const planned_request&, const planned_request&) = default;
};

} // namespace snipespar::entry
