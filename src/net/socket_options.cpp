#include "net/socket_options.h"

#include <boost/asio/detail/socket_option.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace snipespar::net {

namespace {

namespace asio = boost::asio;

template <int Name>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

// Together they detect an unreachable peer within three seconds, the longest time that clients
// wait before they abandon a connection.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;
constexpr int unacknowledged_timeout_ms = 3000;

} // namespace

void set_liveness_options(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(tcp_option<TCP_KEEPIDLE>(keep_alive_idle_s), ignored);
    socket.set_option(tcp_option<TCP_KEEPINTVL>(keep_alive_interval_s), ignored);
    socket.set_option(tcp_option<TCP_KEEPCNT>(keep_alive_probes), ignored);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(unacknowledged_timeout_ms), ignored);
}

duration time_since_received(asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return {};
    }
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

} // namespace snipespar::net
