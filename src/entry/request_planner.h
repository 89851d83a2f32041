#pragma once

#include "entry/planned_request.h"
#include "entry/refusal.h"
#include "snipespar/time.h"

#include <string>
#include <variant>

namespace snipespar::config {
class access;
}

namespace snipespar::entry {

struct caller_request;

/// A JSON document that the entry returns without any upstream.
struct local_response {
    std::string json;

    friend bool operator==(const local_response&, const local_response&) = default;
};

/// How the entry handles a request.
using request_plan = std::variant<planned_request, local_response, refusal>;

/// Decides under one configuration whether a request may run, on which upstreams and for which
/// team. `request_id` identifies the request in every process; `now` and `timeout` give its
/// deadline. The result never contains the caller's key; a request that contains the key in its
/// target or body is refused.
request_plan plan_request(const config::access& access, const caller_request& request,
                          const std::string& request_id, time_point now, duration timeout);

} // namespace snipespar::entry
