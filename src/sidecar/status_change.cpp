#include "sidecar/status_change.h"

#include "gateway/engine_status.h"

#include <algorithm>

namespace snipespar::sidecar {

bool equal_but_for_load(const gateway::engine_status& left, gateway::engine_status right)
{
    right.running = left.running;
    right.waiting = left.waiting;
    right.memory_used = left.memory_used;
    right.workload = left.workload;
    return left == right;
}

bool withdraws(const gateway::engine_status& before, const gateway::engine_status& now)
{
    const bool has_lost_model = before.models != now.models;
    const bool has_lost_adapter =
        std::any_of(before.adapters.begin(), before.adapters.end(), [&](const auto& item) {
            const auto found = now.adapters.find(item.first);
            return found == now.adapters.end() || found->second != item.second;
        });
    return has_lost_model || has_lost_adapter || before.process_start_ms != now.process_start_ms ||
           before.is_full != now.is_full || before.is_short_of_slots != now.is_short_of_slots ||
           before.is_paced != now.is_paced;
}

} // namespace snipespar::sidecar
