#include "control/workload_codec.h"

#include "base/json_reader.h"
#include "gateway/engine_workload.h"

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace snipespar::control {

namespace {

constexpr double milli = 1000;

} // namespace

void add_workload(nlohmann::json& message, const gateway::engine_workload& workload)
{
    if (workload == gateway::engine_workload{}) {
        return;
    }
    message["work"] = workload.waiting_tokens;
    message["speed_milli"] =
        static_cast<std::uint64_t>(std::lround(workload.tokens_per_ms * milli));
}

gateway::engine_workload read_workload(const json_reader& fields)
{
    if (!fields.has("work")) {
        return {};
    }
    return {
        .waiting_tokens = fields.integer<std::uint32_t>("work"),
        .tokens_per_ms = static_cast<double>(fields.integer<std::uint32_t>("speed_milli")) / milli,
    };
}

} // namespace snipespar::control
