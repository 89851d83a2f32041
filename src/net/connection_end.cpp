#include "net/connection_end.h"

#include <sys/socket.h>

namespace snipespar::net {

bool ended_in_order(boost::asio::ip::tcp::socket& socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
           error == 0;
}

} // namespace snipespar::net
