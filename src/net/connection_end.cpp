#include "net/connection_end.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace snipespar::net {

namespace {

constexpr unsigned first_failure_status = 400;

} // namespace

bool ended_in_order(boost::asio::ip::tcp::socket& socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
           error == 0;
}

bool has_peer_received_all(boost::asio::ip::tcp::socket& socket)
{
    int unacknowledged = 0;
    return ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) != 0 || unacknowledged <= 0;
}

bool is_end_of_answer(boost::asio::ip::tcp::socket& socket, unsigned status)
{
    return ended_in_order(socket) &&
           (status >= first_failure_status || has_peer_received_all(socket));
}

} // namespace snipespar::net
