#include "agent/scheduler_action.h"

namespace snipespar::agent {

std::string_view to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::load_failed:
        return "adapter_load_failed";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::suspect:
        return "suspected_of_crashing";
    case refusal_reason::upstream_down:
        break;
    }
    return "upstream_down";
}

std::string_view to_string(failure_reason reason)
{
    switch (reason) {
    case failure_reason::upstream_died:
        return "upstream_died";
    case failure_reason::wrong_adapter:
        return "wrong_adapter";
    case failure_reason::upstream_failed:
        break;
    }
    return "upstream_failed";
}

} // namespace snipespar::agent
