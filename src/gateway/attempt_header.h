#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>

namespace snipespar::gateway {

/// Header fields that the gateway adds to a call for the upstream.
struct attempt_header {
    /// The only upstream that may run the call.
    upstream_id upstream;
    team_id team;
    /// Time left until the caller gives up.
    duration time_left{};
    /// The caller already has the events up to this one.
    std::optional<std::uint64_t> last_event;
    /// Scheduling priority at the engine, 0 is the most urgent; absent for plain services.
    std::optional<int> urgency;

    friend bool operator==(const attempt_header&, const attempt_header&) = default;
};

} // namespace snipespar::gateway
