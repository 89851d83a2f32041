#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace snipespar::net {

/// Calls `graceful` at the first SIGTERM or SIGINT and `forced` at the second.
class stop_signals {
public:
    stop_signals(boost::asio::io_context& context, std::function<void()> graceful,
                 std::function<void()> forced);

    /// Stops waiting for signals.
    void cancel() { signals_.cancel(); }

private:
    void wait(std::function<void()> first, std::function<void()> second);

    boost::asio::signal_set signals_;
};

} // namespace snipespar::net
