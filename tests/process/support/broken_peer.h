#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace snipespar::testing {

/// Sends these bytes and resets the connection, after the end of sending if that comes first.
/// Returns when everything has arrived at the other end, which must not be handled meanwhile.
void send_and_reset(boost::asio::ip::tcp::socket& peer, std::string_view bytes,
                    bool ends_sending_first);

} // namespace snipespar::testing
