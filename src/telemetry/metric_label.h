#pragma once

#include <compare>
#include <string>

namespace snipespar::telemetry {

/// One dimension of a metric, such as `reason="queue_full"`. Label values come from small fixed
/// sets or from the configuration, never from callers.
struct metric_label {
    std::string name;
    std::string value;

    friend auto operator<=>(const metric_label&, const metric_label&) = default;
    friend bool operator==(const metric_label&, const metric_label&) = default;
};

} // namespace snipespar::telemetry
