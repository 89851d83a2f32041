#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace snipespar::telemetry {

/// Writes log lines to a file descriptor without blocking: lines above a rate limit, and lines that
/// the descriptor has no room for, are dropped and counted. For use by one thread.
class bounded_output {
public:
    /// Makes the descriptor non-blocking. It must stay open.
    bounded_output(int descriptor, double lines_per_s, double burst);

    void write(std::string_view line);

    /// Lines dropped since the start.
    std::uint64_t dropped() const { return dropped_; }

private:
    int descriptor_;
    double lines_per_s_;
    double burst_;
    double available_;
    std::chrono::steady_clock::time_point refilled_;
    std::uint64_t dropped_ = 0;
};

} // namespace snipespar::telemetry
