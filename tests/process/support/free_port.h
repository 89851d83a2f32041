#pragma once

#include "cli/endpoint.h"

namespace snipespar::testing {

/// Loopback address with an unused port. Ports lie below the kernel's ephemeral range and are tried
/// in an order that depends on the process id, so that no outgoing connection and hardly any other
/// test process takes the port before its owner binds it; a port is never returned twice.
cli::endpoint free_address();

} // namespace snipespar::testing
