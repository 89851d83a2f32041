#include "gateway/fleet_config.h"

#include <utility>

namespace snipespar::gateway {

fleet_config::fleet_config(parts content) : parts_(std::move(content))
{
    for (const auto& service : parts_.services) {
        services_[service.name] = &service;
    }
    for (const auto& team : parts_.teams) {
        for (const auto& key : team.keys) {
            keys_[key] = &team;
        }
    }
}

const service_rule* fleet_config::find_service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

const team_rule* fleet_config::find_team(std::string_view key) const
{
    const auto found = keys_.find(std::string(key));
    return found == keys_.end() ? nullptr : found->second;
}

} // namespace snipespar::gateway
