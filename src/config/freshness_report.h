#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <optional>

namespace snipespar::config {

/// What one process tells another about its configuration. Ages count back from the moment at which
/// the report was made, because clocks of different hosts do not agree.
struct freshness_report {
    /// Version in force at the sender; 0 for none.
    std::uint64_t version = 0;
    /// Highest version that the sender has heard of.
    std::uint64_t newest_known = 0;
    /// Since when anybody last found `version` to be the accepted one at the platform.
    std::optional<duration> confirmed_age;
    /// Since when the sender's own latest call to the platform failed; none if it succeeded or if
    /// the sender does not call the platform.
    std::optional<duration> call_failed_age;
    /// Since when a majority of the members was last known to be without the platform at `version`.
    std::optional<duration> outage_age;

    friend bool operator==(const freshness_report&, const freshness_report&) = default;
};

} // namespace snipespar::config
