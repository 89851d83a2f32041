#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace snipespar::net {

/// Signal handlers of a process.
struct signal_handlers {
    /// First SIGTERM or SIGINT.
    std::function<void()> stop;
    /// Any later SIGINT; a repeated SIGTERM asks for the same graceful stop again.
    std::function<void()> stop_again;
    /// SIGHUP.
    std::function<void()> reload;
};

/// Calls the signal handlers on the io context.
class process_signals {
public:
    process_signals(boost::asio::io_context& context, signal_handlers handlers);

private:
    void wait();

    boost::asio::signal_set signals_;
    signal_handlers handlers_;
    bool is_stopping_ = false;
};

} // namespace snipespar::net
