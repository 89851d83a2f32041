#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace snipespar::net {

/// Sends small writes at once, and makes the kernel notice a peer that has silently gone: an idle
/// connection by keep-alive probes, one with unacknowledged bytes by a time-out, both within
/// about three seconds. A refused option is ignored: the connection then works without it.
void set_liveness_options(boost::asio::ip::tcp::socket& socket);

} // namespace snipespar::net
