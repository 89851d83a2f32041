#pragma once

#include "cli/endpoint.h"

namespace snipespar::testing {

/// Loopback address with an unused port. Ports lie below the kernel's ephemeral range and in blocks
/// that only this test process holds, so that neither an outgoing connection nor another test
/// process takes the port before its owner binds it, on any loopback address; a port is never
/// returned twice.
cli::endpoint free_address();

} // namespace snipespar::testing
