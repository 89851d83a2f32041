#include "net/stop_signals.h"

#include <csignal>
#include <utility>

namespace snipespar::net {

stop_signals::stop_signals(boost::asio::io_context& context, std::function<void()> graceful,
                           std::function<void()> forced)
    : signals_(context, SIGTERM, SIGINT)
{
    wait(std::move(graceful), std::move(forced));
}

void stop_signals::wait(std::function<void()> first, std::function<void()> second)
{
    signals_.async_wait(
        [this, first = std::move(first), second = std::move(second)](const auto& error, int) {
            if (error) {
                return;
            }
            if (second) {
                wait(second, nullptr);
            }
            first();
        });
}

} // namespace snipespar::net
