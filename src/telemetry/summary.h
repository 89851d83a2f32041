#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>

namespace snipespar::telemetry {

/// Distribution of a measured quantity: count and sum since the process started, and percentiles
/// of the last finished window (of the current one until a first has finished). Any thread may use
/// it.
class summary {
public:
    /// The percentiles that a summary reports.
    static constexpr std::array<double, 3> probabilities{0.5, 0.9, 0.99};

    /// Values at one moment.
    struct report {
        std::uint64_t count = 0;
        double sum = 0;
        /// In the order of `probabilities`; all zero while there are no samples.
        std::array<double, probabilities.size()> quantiles{};
        double max = 0;

        friend bool operator==(const report&, const report&) = default;
    };

    summary();
    summary(const summary&) = delete;
    summary& operator=(const summary&) = delete;
    ~summary();

    void record(double value);

    /// Ends the current window and starts the next.
    void rotate();

    report read() const;

private:
    class window;

    mutable std::mutex mutex_;
    std::uint64_t count_ = 0;
    double sum_ = 0;
    std::unique_ptr<window> current_;
    std::unique_ptr<window> last_;
};

} // namespace snipespar::telemetry
