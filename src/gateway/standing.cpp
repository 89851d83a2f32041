#include "gateway/standing.h"

namespace snipespar::gateway {

std::string_view name_of(standing value)
{
    switch (value) {
    case standing::ready:
        return "ready";
    case standing::loading:
        return "loading";
    case standing::may_load:
        return "may_load";
    case standing::unreported:
        return "unreported";
    case standing::cannot_load:
        return "cannot_load";
    case standing::full:
        return "full";
    case standing::backlogged:
        return "backlogged";
    case standing::leaving:
        return "leaving";
    case standing::other_software:
        return "other_software";
    case standing::unconfirmed:
        return "unconfirmed";
    case standing::evacuated:
        return "evacuated";
    case standing::closed:
        return "closed";
    case standing::cold:
        return "cold";
    case standing::needs_permit:
        return "needs_permit";
    case standing::tried:
        return "tried";
    case standing::ejected:
        return "ejected";
    case standing::removed:
        return "removed";
    case standing::unresponsive:
        return "unresponsive";
    case standing::failing:
        return "failing";
    }
    return "unknown";
}

} // namespace snipespar::gateway
