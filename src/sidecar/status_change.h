#pragma once

#include <string>
#include <vector>

namespace snipespar::gateway {
struct engine_status;
}

namespace snipespar::sidecar {

/// Whether both statuses are the same apart from the engine's present load.
bool equal_but_for_load(const gateway::engine_status& left, gateway::engine_status right);

/// Adapters, as `model/adapter`, that were advertised and are no longer, or in another version.
std::vector<std::string> withdrawn_adapters(const gateway::engine_status& before,
                                            const gateway::engine_status& now);

/// Whether something else has changed that any gateway may rely on for its next call.
bool concerns_all_gateways(const gateway::engine_status& before, const gateway::engine_status& now);

} // namespace snipespar::sidecar
