#include "gateway/fleet_config.h"

#include <algorithm>
#include <utility>

namespace snipespar::gateway {

fleet_config::fleet_config(parts content) : parts_(std::move(content))
{
    for (const auto& route : parts_.routes) {
        routes_[route.host].push_back(&route);
    }
    for (auto& [host, list] : routes_) {
        std::sort(list.begin(), list.end(), [](const route_rule* left, const route_rule* right) {
            return left->path_prefix.size() > right->path_prefix.size();
        });
    }
    for (const auto& service : parts_.services) {
        services_[service.name] = &service;
    }
    for (const auto& team : parts_.teams) {
        for (const auto& key : team.keys) {
            keys_[key] = &team;
        }
    }
}

const route_rule* fleet_config::find_route(std::string_view host, std::string_view path) const
{
    const auto list = routes_.find(host);
    if (list == routes_.end()) {
        return nullptr;
    }
    const auto found =
        std::find_if(list->second.begin(), list->second.end(),
                     [&](const route_rule* route) { return path.starts_with(route->path_prefix); });
    return found == list->second.end() ? nullptr : *found;
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
