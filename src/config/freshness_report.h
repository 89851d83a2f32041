#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <optional>

namespace snipespar::config {

/// What one process reports to another about its configuration. Ages are relative to the creation
/// of the report, because clocks of different hosts do not agree.
struct freshness_report {
    /// Active version of the sender; 0 for none.
    std::uint64_t version = 0;
    /// Highest version that the sender knows of.
    std::uint64_t newest_known = 0;
    /// Time since any process last found `version` to be the accepted one at the platform.
    std::optional<duration> confirmed_age;
    /// Time since the sender's own latest call to the platform failed; none if it succeeded or if
    /// the sender does not call the platform.
    std::optional<duration> call_failed_age;
    /// Time since a majority of the members was last known to have lost the platform at `version`.
    std::optional<duration> outage_age;

    friend bool operator==(const freshness_report&, const freshness_report&) = default;
};

} // namespace snipespar::config
