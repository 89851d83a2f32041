#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>

namespace snipespar::gateway {

/// What an upstream is told of a call beside the caller's own header.
struct attempt_header {
    /// The only upstream that may run the call.
    upstream_id upstream;
    team_id team;
    /// Time left until the caller gives up.
    duration time_left{};
    /// Events up to this one are not wanted again.
    std::optional<std::uint64_t> last_event;
    /// Urgency at the engine, 0 first; absent for plain services.
    std::optional<int> urgency;

    friend bool operator==(const attempt_header&, const attempt_header&) = default;
};

} // namespace snipespar::gateway
