#include "process/support/broken_peer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <thread>

namespace snipespar::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

void send_and_reset(tcp::socket& peer, std::string_view bytes, bool ends_sending_first)
{
    constexpr auto arrival_time = std::chrono::milliseconds(100);
    asio::write(peer, asio::buffer(bytes.data(), bytes.size()));
    if (ends_sending_first) {
        peer.shutdown(tcp::socket::shutdown_send);
    }
    peer.set_option(asio::socket_base::linger(true, 0));
    peer.close();
    std::this_thread::sleep_for(arrival_time);
}

} // namespace snipespar::testing
