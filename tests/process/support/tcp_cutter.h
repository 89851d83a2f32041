#pragma once

#include "cli/endpoint.h"

#include <memory>

namespace snipespar::testing {

/// What a cutter does with the bytes of one direction.
enum class relay_mode {
    pass,
    /// Reads nothing, so that the sender's buffers fill up; the bytes flow on after `pass`.
    freeze,
    /// Reads and discards, as a middlebox does that has lost track of a connection.
    drop,
};

/// A TCP relay on a thread of its own that stands between two processes and brings network faults
/// about. Modes hold for all present and future connections.
class tcp_cutter {
public:
    /// Listens on a free loopback port and connects each accepted connection to `target`.
    explicit tcp_cutter(const cli::endpoint& target);
    tcp_cutter(const tcp_cutter&) = delete;
    tcp_cutter& operator=(const tcp_cutter&) = delete;
    ~tcp_cutter();

    /// Where to connect instead of to the target.
    cli::endpoint address() const;

    void set_towards_target(relay_mode mode);
    void set_from_target(relay_mode mode);

    /// Resets all present connections; new ones work.
    void cut();

    /// Resets all present connections and closes new ones at once, until called with false.
    void set_unreachable(bool unreachable);

private:
    class state;

    std::unique_ptr<state> state_;
};

} // namespace snipespar::testing
