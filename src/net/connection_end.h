#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace snipespar::net {

/// Whether a connection whose end has been read ended in order: a reset that follows the peer's end
/// of sending is left as an error of the socket, which a read does not report. The socket tells it
/// once, so that this is asked once. True if the system does not tell.
bool ended_in_order(boost::asio::ip::tcp::socket& socket);

/// Whether the peer's host has received all bytes that were written. Each segment of the peer
/// acknowledges what its host had received before, so that the peer ended its sending without the
/// rest if some is missing when that end is read. True if the system does not tell.
bool has_peer_received_all(boost::asio::ip::tcp::socket& socket);

/// Whether the end of a connection, which has been read, is the end of an answer with this status
/// that states no end of its own. An answer that ends before its request has arrived may be a part,
/// from a peer that fails; a refusal need not wait for its request. Asked once, as above.
bool is_end_of_answer(boost::asio::ip::tcp::socket& socket, unsigned status);

} // namespace snipespar::net
