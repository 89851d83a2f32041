#pragma once

#include "base/backoff.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace snipespar::net {

/// Starts a server, again and again while its addresses are held by another process. The first
/// attempt is made once the context runs, so that whatever is set up before then, such as signal
/// handlers, precedes the server's first effects.
class start_attempts {
public:
    struct handlers {
        /// One attempt. Unavailable: it is made again after a pause.
        std::function<absl::Status()> start;
        /// The server waits for the reason given; called at the first attempt that fails and then
        /// once in a while.
        std::function<void(const absl::Status&)> waiting;
        /// The server can never start, or its start was broken off by an exception.
        std::function<void(const absl::Status&)> failed;
    };

    start_attempts(boost::asio::io_context& io, handlers callbacks);
    start_attempts(const start_attempts&) = delete;
    start_attempts& operator=(const start_attempts&) = delete;
    ~start_attempts() = default;

    bool is_started() const { return is_started_; }

private:
    absl::Status start() const;
    void attempt();

    handlers handlers_;
    backoff pause_;
    boost::asio::steady_timer timer_;
    std::chrono::steady_clock::time_point next_report_;
    bool is_started_ = false;
};

} // namespace snipespar::net
