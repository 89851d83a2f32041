#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace snipespar::telemetry {

/// Writes log lines to a file descriptor without blocking: lines above a rate limit, and lines that
/// the descriptor has no room for, are dropped and counted. For use by one thread.
class bounded_output {
public:
    /// The descriptor may be shared with other processes, closed, or a pipe without a reader.
    bounded_output(int descriptor, double lines_per_s, double burst);
    bounded_output(const bounded_output&) = delete;
    bounded_output& operator=(const bounded_output&) = delete;
    ~bounded_output();

    void write(std::string_view line);

    /// Lines dropped since the start.
    std::uint64_t dropped() const { return dropped_; }

private:
    /// How a line is written without blocking.
    enum class access {
        /// The descriptor never blocks.
        direct,
        socket,
        /// A blocking descriptor is written to when it has room.
        polled,
    };

    bool put(std::string_view line) const;

    int descriptor_;
    access access_ = access::direct;
    bool owns_descriptor_ = false;
    double lines_per_s_;
    double burst_;
    double available_;
    std::chrono::steady_clock::time_point refilled_;
    std::uint64_t dropped_ = 0;
};

} // namespace snipespar::telemetry
