#pragma once

#include "claims/claim_decision.h"
#include "claims/claim_nonce.h"
#include "claims/recorded_answer.h"
#include "entry/planned_request.h"
#include "entry/refusal.h"
#include "entry/request_outcome.h"
#include "entry/request_session.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace snipespar::config {
class access;
}

namespace snipespar::entry {

class budget_reservation;

/// Services of the entry for callers' connections. All functions may be called from any traffic
/// thread.
struct connection_services {
    /// The active configuration; null before the first one.
    std::function<std::shared_ptr<const config::access>()> access;
    /// Whether the active configuration is known to be the accepted one, so that new requests may
    /// be admitted under it.
    std::function<bool()> is_confirmed;
    std::function<std::string()> next_request_id;
    /// Reserves a request's tokens of its team's budget.
    std::function<std::unique_ptr<budget_reservation>(const boost::asio::any_io_executor&,
                                                      const planned_request&)>
        reserve;
    /// Creates the session of an admitted request.
    std::function<std::shared_ptr<request_session>(const boost::asio::any_io_executor&,
                                                   const planned_request&)>
        make_session;
    /// Claims the idempotency key of a call; the callback may run on any thread. Null if the entry
    /// has no platform to store claims in.
    std::function<void(const planned_request&,
                       std::function<void(claims::claim_nonce, claims::claim_decision)>)>
        claim;
    /// Reports how a granted claim ended; the response is set if the call ran to completion.
    std::function<void(const claims::claim_nonce&, run_state,
                       std::optional<claims::recorded_answer>)>
        finish_claim;
    /// The context of a new span, a child of the one in the header if there is one.
    std::function<telemetry::trace_context(std::string_view traceparent)> start_span;
    /// Adds a request to those in progress; `request_ended` removes it.
    std::function<void()> request_began;
    std::function<void(const request_outcome&)> request_ended;
    std::function<bool()> draining;
    std::uint64_t max_body_bytes = 0;
    duration request_timeout{};
};

} // namespace snipespar::entry
