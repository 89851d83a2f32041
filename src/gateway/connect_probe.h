#pragma once

#include "cli/endpoint.h"
#include "snipespar/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>

namespace snipespar::gateway {

/// Opens a connection to the address and closes it again. `refused` is called if the host answers
/// that nothing listens there; a silent host or an accepted connection calls nothing.
void probe_connect(const boost::asio::any_io_executor& executor, const cli::endpoint& address,
                   duration timeout, std::function<void()> refused);

} // namespace snipespar::gateway
