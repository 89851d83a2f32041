#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::limits {

/// Settings of a `limit_node`; the same in every process of a fleet.
struct limit_settings {
    /// Groups into which limits are hashed; each has one allocation table.
    std::uint32_t group_count = 16;
    /// How long a host must be missing from the platform's list before it counts as gone. Longer
    /// than the list's lag.
    duration member_dwell = std::chrono::seconds(5);
    /// A longer gap between two events means that the process was paused.
    duration longest_gap = std::chrono::seconds(1);
    /// How long a paused process tries to confirm its shares before it starts anew.
    duration longest_suspension = std::chrono::seconds(3);
    /// Longest time that a request waits for credit.
    duration longest_wait = std::chrono::milliseconds(50);
    /// How long to wait for one owner's answer before asking the next.
    duration answer_timeout = std::chrono::milliseconds(10);
    /// How long an owner remembers a request that it could not fill.
    duration recall_wait = std::chrono::milliseconds(20);
    /// Shortest time between two rounds of asking for the same limit.
    duration round_interval = std::chrono::milliseconds(5);
    /// Time between two looks at what can go back to the owners.
    duration return_interval = std::chrono::milliseconds(50);
    /// Time after an unsuccessful table read or write before the next try.
    duration table_retry = std::chrono::milliseconds(500);

    friend bool operator==(const limit_settings&, const limit_settings&) = default;
};

} // namespace snipespar::limits
