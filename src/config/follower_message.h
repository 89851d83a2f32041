#pragma once

#include "config/freshness_report.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <string>
#include <variant>

namespace snipespar::config {

/// Requests a report. `sent` is in the sender's own clock and is echoed unchanged.
struct report_query {
    time_point sent;

    friend bool operator==(const report_query&, const report_query&) = default;
};

struct report_response {
    time_point sent;
    failure_domain_id failure_domain;
    freshness_report report;

    friend bool operator==(const report_response&, const report_response&) = default;
};

/// Requests the root of the active version.
struct root_query {
    friend bool operator==(const root_query&, const root_query&) = default;
};

struct root_response {
    std::string text;

    friend bool operator==(const root_response&, const root_response&) = default;
};

/// Requests one part.
struct part_query {
    std::string sha256;

    friend bool operator==(const part_query&, const part_query&) = default;
};

struct part_response {
    std::string sha256;
    std::string bytes;

    friend bool operator==(const part_response&, const part_response&) = default;
};

/// Messages between the followers of different processes.
using follower_message = std::variant<report_query, report_response, root_query, root_response,
                                      part_query, part_response>;

/// Topic of these messages on links.
inline constexpr const char* follower_topic = "config";

} // namespace snipespar::config
