#pragma once

#include "cli/endpoint.h"
#include "snipespar/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>

namespace snipespar::gateway {

/// Connects to the address and calls `refused` if nothing listens there. A connection that is
/// closed at once is tried again, since the kernel may accept it for a process that is ending. Does
/// nothing if the connection stays open, or cannot be established within `timeout`.
void probe_connect(const boost::asio::any_io_executor& executor, const cli::endpoint& address,
                   duration timeout, std::function<void()> refused);

} // namespace snipespar::gateway
