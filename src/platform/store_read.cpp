#include "platform/store_read.h"

namespace snipespar::platform {

std::string_view to_string(read_kind kind)
{
    switch (kind) {
    case read_kind::list:
        return "list";
    case read_kind::poll:
        return "poll";
    case read_kind::catch_up:
        return "catch_up";
    }
    return "unknown";
}

std::string_view to_string(read_cause cause)
{
    switch (cause) {
    case read_cause::start:
        return "start";
    case read_cause::next:
        return "next";
    case read_cause::wish:
        return "wish";
    case read_cause::history_lost:
        return "history_lost";
    case read_cause::restored:
        return "restored";
    case read_cause::retry:
        return "retry";
    case read_cause::incomplete:
        return "incomplete";
    }
    return "unknown";
}

std::string_view to_string(read_outcome outcome)
{
    switch (outcome) {
    case read_outcome::used:
        return "used";
    case read_outcome::superseded:
        return "superseded";
    case read_outcome::failed:
        return "failed";
    }
    return "unknown";
}

} // namespace snipespar::platform
