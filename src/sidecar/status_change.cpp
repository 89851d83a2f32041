#include "sidecar/status_change.h"

#include "gateway/engine_status.h"

namespace snipespar::sidecar {

bool equal_but_for_load(const gateway::engine_status& left, gateway::engine_status right)
{
    right.running = left.running;
    right.waiting = left.waiting;
    right.memory_used = left.memory_used;
    right.workload = left.workload;
    return left == right;
}

std::vector<std::string> withdrawn_adapters(const gateway::engine_status& before,
                                            const gateway::engine_status& now)
{
    std::vector<std::string> withdrawn;
    for (const auto& [name, version] : before.adapters) {
        const auto found = now.adapters.find(name);
        if (found == now.adapters.end() || found->second != version) {
            withdrawn.push_back(name);
        }
    }
    return withdrawn;
}

bool concerns_all_gateways(const gateway::engine_status& before, const gateway::engine_status& now)
{
    return before.models != now.models || before.process_start_ms != now.process_start_ms ||
           before.is_full != now.is_full || before.is_paced != now.is_paced;
}

} // namespace snipespar::sidecar
