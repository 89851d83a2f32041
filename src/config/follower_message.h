#pragma once

#include "config/freshness_report.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <string>
#include <variant>

namespace snipespar::config {

/// Asks for a report. `sent` is the asker's own clock and comes back unchanged.
struct report_query {
    time_point sent;

    friend bool operator==(const report_query&, const report_query&) = default;
};

struct report_answer {
    time_point sent;
    failure_domain_id failure_domain;
    freshness_report report;

    friend bool operator==(const report_answer&, const report_answer&) = default;
};

/// Asks for the root of the version in force.
struct root_query {
    friend bool operator==(const root_query&, const root_query&) = default;
};

struct root_answer {
    std::string text;

    friend bool operator==(const root_answer&, const root_answer&) = default;
};

/// Asks for one part.
struct part_query {
    std::string sha256;

    friend bool operator==(const part_query&, const part_query&) = default;
};

struct part_answer {
    std::string sha256;
    std::string bytes;

    friend bool operator==(const part_answer&, const part_answer&) = default;
};

/// What followers of different processes say to each other.
using follower_message =
    std::variant<report_query, report_answer, root_query, root_answer, part_query, part_answer>;

/// Topic of these messages on links.
inline constexpr const char* follower_topic = "config";

} // namespace snipespar::config
