#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::limits {

/// Settings of a `limit_node`; the same in every process of a fleet.
struct limit_settings {
    /// Groups into which limits are hashed; each has one allocation table.
    std::uint32_t group_count = 16;
    /// How long a host must be missing from the platform's list before it counts as removed. Longer
    /// than the list's lag.
    duration member_dwell = std::chrono::seconds(5);
    /// A longer gap between two events is treated as a pause of the process.
    duration longest_gap = std::chrono::seconds(1);
    /// Time that a paused process has to confirm its shares before it restarts as a new
    /// incarnation.
    duration longest_suspension = std::chrono::seconds(3);
    /// Maximum time that a request waits for credit.
    duration longest_wait = std::chrono::milliseconds(50);
    /// Time to wait for one owner's answer before querying the next.
    duration answer_timeout = std::chrono::milliseconds(10);
    /// How long an owner keeps a request that it could not fill.
    duration recall_wait = std::chrono::milliseconds(20);
    /// Minimum time between two credit rounds for the same limit.
    duration round_interval = std::chrono::milliseconds(5);
    /// Time between two checks for credit that can be given back to the owners.
    duration return_interval = std::chrono::milliseconds(50);
    /// Delay before an unsuccessful table read or write is retried.
    duration table_retry = std::chrono::milliseconds(500);

    friend bool operator==(const limit_settings&, const limit_settings&) = default;
};

} // namespace snipespar::limits
