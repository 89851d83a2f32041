#pragma once

#include "snipespar/time.h"

#include <optional>

namespace snipespar::gateway {

/// What a stopping gateway still has to finish.
struct stop_progress {
    /// Requests without a final response.
    int exchanges = 0;
    /// Open connections of callers, those that are being shut down included. A connection is open
    /// until its last answer is written and the caller has closed it or had time to.
    int connections = 0;

    /// A connection may hold a request that has not arrived completely.
    bool has_requests() const { return exchanges > 0 || connections > 0; }

    friend bool operator==(const stop_progress&, const stop_progress&) = default;
};

/// Next step of a stop.
enum class stop_step {
    /// Goes on as it is.
    serve,
    /// Accepts the connections that the kernel has queued, then closes the listener.
    close_listener,
    /// Gives every request that is still open its final answer: there is no more time to wait.
    end_calls,
    /// Nothing is left to finish: the process can exit.
    exit,
};

/// Decides when a stopping gateway closes its listener, which requests it still takes, and when it
/// exits. The load balancer sends new connections until it has noticed that the gateway is not
/// ready. Every connection, also one that was accepted last, gets its answers before the process
/// exits.
class stop_plan {
public:
    /// `grace` is the time from the beginning of a stop until the platform kills the process.
    explicit stop_plan(duration grace) : grace_(grace) {}

    /// The stop begins; a repeated call has no effect.
    void begin(time_point now);

    bool has_begun() const { return began_at_.has_value(); }

    /// Whether a call that has arrived by now is taken. `needed` is the time that it may take and
    /// still has to be answered whole. A stream that is taken and not finished is broken off.
    bool takes_call(bool is_stream, duration needed, time_point now) const;

    /// Time from the beginning of a stop until the process exits, whatever is unfinished.
    duration exit_delay() const;

    /// Whether idle connections are closed: requests in flight towards them have arrived.
    bool closes_idle_connections(time_point now) const;

    stop_step next(const stop_progress& progress, time_point now);

private:
    duration listener_close_delay() const;
    duration calls_end_delay() const;

    duration grace_;
    std::optional<time_point> began_at_;
    bool is_listener_closed_ = false;
    bool are_calls_ended_ = false;
};

} // namespace snipespar::gateway
