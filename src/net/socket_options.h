#pragma once

#include "snipespar/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace snipespar::net {

/// Sends small writes immediately, and makes the kernel detect an unreachable peer: on an idle
/// connection by keep-alive probes, on one with unacknowledged bytes by a time-out, both within
/// about three seconds. An option that cannot be set is ignored: the connection works without it.
void set_liveness_options(boost::asio::ip::tcp::socket& socket);

/// Time since the connection last received bytes, whether read or not; zero if the system does not
/// tell.
duration time_since_received(boost::asio::ip::tcp::socket& socket);

} // namespace snipespar::net
