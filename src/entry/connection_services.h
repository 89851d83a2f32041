#pragma once

#include "entry/planned_request.h"
#include "entry/refusal.h"
#include "entry/request_outcome.h"
#include "entry/request_session.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace snipespar::config {
class access;
}

namespace snipespar::entry {

/// What a caller's connection uses of the rest of the entry. All functions may be called from any
/// traffic thread.
struct connection_services {
    /// The configuration in force; null before the first one.
    std::function<std::shared_ptr<const config::access>()> access;
    /// Whether the configuration in force is known to be the accepted one, so that new requests
    /// may be admitted under it.
    std::function<bool()> is_confirmed;
    std::function<std::string()> next_request_id;
    /// Makes the session of an admitted request.
    std::function<std::shared_ptr<request_session>(const boost::asio::any_io_executor&,
                                                   const planned_request&)>
        make_session;
    /// The context of a new span below the one in the header, if there is one.
    std::function<telemetry::trace_context(std::string_view traceparent)> start_span;
    /// Counts a request in; it is counted out by `request_ended`.
    std::function<void()> request_began;
    std::function<void(const request_outcome&)> request_ended;
    std::function<bool()> draining;
    std::uint64_t max_body_bytes = 0;
    duration request_timeout{};
};

} // namespace snipespar::entry
