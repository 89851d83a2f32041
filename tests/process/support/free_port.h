#pragma once

#include "cli/endpoint.h"

namespace snipespar::testing {

/// A loopback address with a port that nobody holds. Ports come from below the kernel's ephemeral
/// range, in an order of this process's own, so that no outgoing connection and hardly any other
/// test process takes the port before its owner binds it; a port is never handed out twice.
cli::endpoint free_address();

} // namespace snipespar::testing
