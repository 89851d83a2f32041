#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace engine_stand_in {

/// Command-line settings of the program.
struct engine_options {
    std::string address = "127.0.0.1";
    /// With 0 the kernel chooses the port; the program prints it.
    std::uint16_t port = 0;
    /// Number of adapter slots.
    std::uint32_t slots = 8;
    /// Requests running concurrently; others wait, most urgent first.
    std::uint32_t max_running = 8;
    std::chrono::milliseconds load_time{250};
    /// Time of one generated token.
    std::chrono::microseconds token_time{500};
    /// Time of one prompt token.
    std::chrono::microseconds prompt_token_time{0};
    /// Concurrent loads at full speed; with more in flight each takes proportionally longer.
    std::uint32_t full_speed_loads = 16;
    /// Maximum age of the load report.
    std::chrono::milliseconds report_lag{0};
    /// Whether orders with a fencing number lower than the highest received are refused.
    bool checks_fencing = false;
    /// First incarnation in the load report; each cold restart adds one.
    std::uint64_t incarnation = 1;
    /// Version of its software in the load report. If it is set, tokens end with it.
    std::string software;
};

} // namespace engine_stand_in
