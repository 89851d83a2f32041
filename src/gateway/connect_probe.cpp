#include "gateway/connect_probe.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <tuple>
#include <utility>

namespace snipespar::gateway {

namespace asio = boost::asio;

void probe_connect(const asio::any_io_executor& executor, const cli::endpoint& address,
                   duration timeout, std::function<void()> refused)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error) {
        return;
    }
    const auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    const auto timer = std::make_shared<asio::steady_timer>(executor, timeout);
    timer->async_wait([socket](const auto& wait_error) {
        if (!wait_error) {
            boost::system::error_code ignored;
            std::ignore = socket->close(ignored);
        }
    });
    socket->async_connect(asio::ip::tcp::endpoint(ip, address.port),
                          [socket, timer, refused = std::move(refused)](const auto& result) {
                              timer->cancel();
                              if (result == asio::error::connection_refused) {
                                  refused();
                              }
                          });
}

} // namespace snipespar::gateway
