#include "net/process_signals.h"

#include <csignal>
#include <utility>

namespace snipespar::net {

process_signals::process_signals(boost::asio::io_context& context, signal_handlers handlers)
    : signals_(context, SIGTERM, SIGINT, SIGHUP), handlers_(std::move(handlers))
{
    wait();
}

void process_signals::wait()
{
    signals_.async_wait([this](const auto& error, int number) {
        if (error) {
            return;
        }
        if (number == SIGHUP) {
            handlers_.reload();
        }
        else if (!std::exchange(is_stopping_, true)) {
            handlers_.stop();
        }
        else if (number == SIGINT) {
            handlers_.stop_again();
        }
        wait();
    });
}

} // namespace snipespar::net
