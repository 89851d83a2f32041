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

/// A JSON document that answers a request without any upstream.
struct local_answer {
    std::string json;

    friend bool operator==(const local_answer&, const local_answer&) = default;
};

/// What the entry does with a request.
using request_plan = std::variant<planned_request, local_answer, refusal>;

/// Decides, by one configuration, whether a request may run, on what, and as whose. `request_id`
/// names the request in every process; `now` and `timeout` give its deadline. The caller's key is
/// in no part of the result; a request that carries it in its target or body is refused.
request_plan plan_request(const config::access& access, const caller_request& request,
                          const std::string& request_id, time_point now, duration timeout);

} // namespace snipespar::entry
