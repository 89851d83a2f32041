#pragma once

#include "cli/endpoint.h"

#include <cstddef>
#include <memory>

namespace snipespar::testing {

/// How a cutter treats the bytes of one direction.
enum class relay_mode {
    pass,
    /// Reads nothing, so that the sender's buffers fill up; delivery resumes with `pass`.
    freeze,
    /// Reads and discards, like a middlebox that has lost its connection state.
    drop,
};

/// TCP relay between two processes that injects network faults, on its own thread. Modes apply to
/// all present and future connections.
class tcp_cutter {
public:
    /// Listens on a free loopback port and connects each accepted connection to `target`.
    explicit tcp_cutter(const cli::endpoint& target);
    tcp_cutter(const tcp_cutter&) = delete;
    tcp_cutter& operator=(const tcp_cutter&) = delete;
    ~tcp_cutter();

    /// Address to connect to instead of the target's.
    cli::endpoint address() const;

    void set_towards_target(relay_mode mode);
    void set_from_target(relay_mode mode);

    /// Bytes a second that all connections together carry from the target; 0 sets no limit.
    void set_rate_from_target(std::size_t bytes_per_s);

    /// Resets all present connections; new ones work.
    void cut();

    /// Resets all present connections and closes new ones immediately, until called with false.
    void set_unreachable(bool unreachable);

private:
    class state;

    std::unique_ptr<state> state_;
};

} // namespace snipespar::testing
