#include "telemetry/state_log.h"

#include "telemetry/logger.h"

namespace snipespar::telemetry {

bool state_log::update(std::string_view event, std::string_view subject, std::string_view state,
                       const std::vector<log_field>& details)
{
    auto& last = last_[{std::string(event), std::string(subject)}];
    if (last == state) {
        return false;
    }
    std::vector<log_field> fields{{"subject", subject}, {"state", state}};
    if (!last.empty()) {
        fields.emplace_back("was", last);
    }
    fields.insert(fields.end(), details.begin(), details.end());
    log_.info(event, fields);
    last = state;
    return true;
}

void state_log::forget(std::string_view event, std::string_view subject)
{
    last_.erase({std::string(event), std::string(subject)});
}

} // namespace snipespar::telemetry
