#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace snipespar::poison {

/// Hash of a request's content, the same for each copy that its caller sends.
using fingerprint = std::uint64_t;

/// One end of one upstream's process.
struct death_id {
    upstream_id upstream;
    /// Chosen by the upstream's agent; never used twice for one upstream.
    std::uint64_t number = 0;

    friend auto operator<=>(const death_id&, const death_id&) = default;
    friend bool operator==(const death_id&, const death_id&) = default;
};

/// A death in which one fingerprint was in flight.
struct death_report {
    death_id id;
    /// Nothing else was in flight.
    bool alone = false;
    /// The fingerprint ran alone and clean afterwards.
    bool cleared = false;
    /// Time for which the death still counts.
    duration remaining{};

    friend bool operator==(const death_report&, const death_report&) = default;
};

/// The deaths of one fingerprint.
struct suspect_report {
    fingerprint print = 0;
    std::vector<death_report> deaths;

    friend bool operator==(const suspect_report&, const suspect_report&) = default;
};

/// What one process tells another about suspects; merging it twice or late does no harm.
using suspect_digest = std::vector<suspect_report>;

} // namespace snipespar::poison
