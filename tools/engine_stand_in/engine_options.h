#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace engine_stand_in {

/// Settings of the program, fixed from its start.
struct engine_options {
    std::string address = "127.0.0.1";
    /// 0 lets the kernel choose; the program prints the port.
    std::uint16_t port = 0;
    /// Adapters held at once.
    std::uint32_t slots = 8;
    /// Requests generated at once; others wait, most urgent first.
    std::uint32_t max_running = 8;
    std::chrono::milliseconds load_time{250};
    /// Time of one generated token.
    std::chrono::microseconds token_time{500};
    /// Time of one prompt token.
    std::chrono::microseconds prompt_token_time{0};
    /// Loads at full speed; with more in flight each takes proportionally longer.
    std::uint32_t loads_at_once = 16;
    /// Age that the load report may reach.
    std::chrono::milliseconds report_lag{0};
    /// Whether an order with an older fencing number than one seen is refused.
    bool checks_fencing = false;
    /// First incarnation in the load report; each cold restart adds one.
    std::uint64_t incarnation = 1;
};

} // namespace engine_stand_in
