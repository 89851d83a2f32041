#pragma once

namespace snipespar::gateway {
struct engine_status;
}

namespace snipespar::sidecar {

/// Whether the statuses differ only in the load.
bool equal_but_for_load(const gateway::engine_status& left, gateway::engine_status right);

/// Whether the new status withdraws or changes something that was advertised before.
bool withdraws(const gateway::engine_status& before, const gateway::engine_status& now);

} // namespace snipespar::sidecar
