#pragma once

#include "telemetry/metric_label.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace snipespar::telemetry {

class counter;
class gauge;
class logger;
class summary;

/// Owns the metrics of one process. Names follow the Prometheus conventions; returned references
/// stay valid for its lifetime. Any thread may use it.
class metrics_registry {
public:
    metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    ~metrics_registry();

    /// Returns the counter with this name and these labels, created at the first call. A name must
    /// always have the same type and help text.
    counter& make_counter(std::string_view name, std::string_view help,
                          std::vector<metric_label> labels = {});
    gauge& make_gauge(std::string_view name, std::string_view help,
                      std::vector<metric_label> labels = {});
    summary& make_summary(std::string_view name, std::string_view help,
                          std::vector<metric_label> labels = {});

    /// All metrics in the text exposition format, version 0.0.4, in the order of their names.
    std::string exposition() const;

    /// Writes one line with the totals of all counters and gauges that are not zero, summed over
    /// their labels, and starts a new window of each summary.
    void report(const logger& log);

private:
    using metric =
        std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>, std::unique_ptr<summary>>;

    // All metrics of one name.
    struct family {
        std::string help;
        std::map<std::vector<metric_label>, metric> members;
    };

    template <class Metric>
    Metric& make(std::string_view name, std::string_view help, std::vector<metric_label> labels);

    mutable std::mutex mutex_;
    std::map<std::string, family, std::less<>> families_;
};

} // namespace snipespar::telemetry
