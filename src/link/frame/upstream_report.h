#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace snipespar::link {

/// State of an upstream, reported by its agent to every linked entry on change and at an interval.
struct upstream_report {
    bool ready = false;
    /// No new work is accepted; running requests are finished.
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Estimated time until a request sent now would start.
    std::uint64_t queue_delay_ms = 0;
    /// Resident adapters, as `adapter@version`.
    std::vector<std::string> resident;
    /// Version of the upstream's software; empty if it states none.
    std::string software;

    friend bool operator==(const upstream_report&, const upstream_report&) = default;
};

} // namespace snipespar::link
