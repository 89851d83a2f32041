#pragma once

#include <nlohmann/json_fwd.hpp>

namespace snipespar {
class json_reader;
}

namespace snipespar::gateway {
struct engine_workload;
}

namespace snipespar::control {

/// Adds what an engine still has to do to a message about it. Nothing is added for an engine whose
/// speed and waits are unknown, so that such messages stay as short as before.
void add_workload(nlohmann::json& message, const gateway::engine_workload& workload);

/// Reads it; absent fields count as unknown, as in messages of earlier builds.
gateway::engine_workload read_workload(const json_reader& fields);

} // namespace snipespar::control
