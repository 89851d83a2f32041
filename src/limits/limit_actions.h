#pragma once

#include "limits/allocation_table.h"
#include "limits/messages.h"
#include "snipespar/time.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace snipespar::limits {

/// Identifies one admission; chosen by the caller and unique within the process.
using request_number = std::uint64_t;

/// Why a request was refused. None of these requests has run.
enum class refusal_reason {
    /// The fleet-wide limit is exhausted.
    over_limit,
    /// The request needs more than the whole burst, so it can never be admitted.
    larger_than_burst,
    /// No such limit is configured.
    unknown_limit,
    /// The process was paused and has not yet confirmed its shares.
    suspended,
};

/// Name of the reason in metrics and refusals.
constexpr std::string_view to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::over_limit:
        return "over_limit";
    case refusal_reason::larger_than_burst:
        return "larger_than_burst";
    case refusal_reason::unknown_limit:
        return "unknown_limit";
    case refusal_reason::suspended:
        break;
    }
    return "suspended";
}

/// The request's tokens are reserved.
struct granted {
    request_number request = 0;

    friend bool operator==(const granted&, const granted&) = default;
};

/// The request gets no tokens and must not run.
struct refused {
    request_number request = 0;
    refusal_reason reason = refusal_reason::over_limit;
    /// Delay before a retry; zero if a retry cannot succeed.
    duration retry_after{};

    friend bool operator==(const refused&, const refused&) = default;
};

/// Send a message to a peer; it may be lost.
struct send_message {
    peer_message message;

    friend bool operator==(const send_message&, const send_message&) = default;
};

/// Read a group's allocation table and report the result by `table_read`.
struct read_table {
    std::uint32_t group = 0;
    /// Distinguishes the results of different reads of a group.
    std::uint64_t number = 0;

    friend bool operator==(const read_table&, const read_table&) = default;
};

/// Write a group's allocation table if its version is still the expected one, 0 meaning that it
/// does not exist, and report the result by `table_written`.
struct write_table {
    std::uint32_t group = 0;
    allocation_table table;
    std::uint64_t expected_version = 0;

    friend bool operator==(const write_table&, const write_table&) = default;
};

/// Deliver nothing more to any caller until `deliveries_resumed`.
struct deliveries_suspended {
    friend bool operator==(const deliveries_suspended&, const deliveries_suspended&) = default;
};

/// The shares are confirmed; deliveries may go on.
struct deliveries_resumed {
    friend bool operator==(const deliveries_resumed&, const deliveries_resumed&) = default;
};

/// The fleet considers this incarnation terminated and has redistributed what it held. End its
/// running requests without delivering another token and replace the node by one with a new
/// incarnation.
struct restart_required {
    friend bool operator==(const restart_required&, const restart_required&) = default;
};

/// An action that a limit node requests.
using limit_action = std::variant<granted, refused, send_message, read_table, write_table,
                                  deliveries_suspended, deliveries_resumed, restart_required>;

/// Actions in the order in which they must be performed.
using limit_actions = std::vector<limit_action>;

} // namespace snipespar::limits
