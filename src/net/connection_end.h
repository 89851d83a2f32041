#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace snipespar::net {

/// Whether a connection whose end has been read ended in order: a reset that follows the peer's end
/// of sending is left as an error of the socket, which a read does not report. The socket tells it
/// once, so that this is asked once. True if the system does not tell.
bool ended_in_order(boost::asio::ip::tcp::socket& socket);

} // namespace snipespar::net
