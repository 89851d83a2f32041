#include "gateway/engine_forecast.h"

#include "gateway/upstream_state.h"

#include <algorithm>
#include <chrono>

namespace snipespar::gateway {

engine_forecast::engine_forecast(const std::vector<const upstream_state*>& engines)
{
    double sum = 0;
    int known = 0;
    for (const auto* engine : engines) {
        if (engine->status && engine->status->workload.tokens_per_ms > 0) {
            sum += engine->status->workload.tokens_per_ms;
            ++known;
        }
    }
    usual_speed_ = known == 0 ? 0 : sum / known;
}

double engine_forecast::start_ms(const upstream_state& engine, std::uint64_t prompt_tokens) const
{
    if (!is_known()) {
        return 0;
    }
    const auto stated = engine.status ? engine.status->workload : engine_workload{};
    const double speed = stated.tokens_per_ms > 0 ? stated.tokens_per_ms : usual_speed_;
    const auto sent_since =
        engine.prompt_tokens - std::min(engine.prompt_tokens, engine.prompt_tokens_at_status);
    return static_cast<double>(stated.waiting_tokens + sent_since + prompt_tokens) / speed;
}

} // namespace snipespar::gateway
