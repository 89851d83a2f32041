#pragma once

#include "telemetry/logger.h"

#include <boost/asio/io_context.hpp>

namespace snipespar::net {

/// Runs the context until it is stopped. An exception that leaves a handler is logged as
/// `handler_failed` and ends that handler only.
void run_contained(boost::asio::io_context& io, const telemetry::logger& log);

} // namespace snipespar::net
