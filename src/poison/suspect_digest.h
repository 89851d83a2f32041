#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace snipespar::poison {

/// Hash of a request's content; identical for every copy that its caller sends.
using fingerprint = std::uint64_t;

/// Set in the fingerprints of prompt parts and clear in those of whole requests, where both are
/// kept in one table.
constexpr fingerprint part_flag = fingerprint{1} << 63U;

constexpr bool is_part(fingerprint print)
{
    return (print & part_flag) != 0;
}

/// Identifies one crash of one upstream.
struct crash_id {
    upstream_id upstream;
    /// Chosen by the upstream's agent; never reused for one upstream.
    std::uint64_t number = 0;

    friend auto operator<=>(const crash_id&, const crash_id&) = default;
    friend bool operator==(const crash_id&, const crash_id&) = default;
};

/// A crash during which a fingerprint was in flight.
struct crash_report {
    crash_id id;
    /// No other fingerprint was in flight.
    bool alone = false;
    /// The fingerprint later ran alone without a crash.
    bool cleared = false;
    /// Time until the crash expires.
    duration remaining{};

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// The crashes during which one fingerprint was in flight.
struct suspect_report {
    fingerprint print = 0;
    std::vector<crash_report> crashes;

    friend bool operator==(const suspect_report&, const suspect_report&) = default;
};

/// Suspects as reported by one process to another; merging is safe if repeated or late.
using suspect_digest = std::vector<suspect_report>;

} // namespace snipespar::poison
