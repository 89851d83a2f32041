#include "gateway/route_index.h"

#include <algorithm>
#include <utility>

namespace snipespar::gateway {

void route_index::add(std::shared_ptr<const route_rule> route)
{
    auto& routes = hosts_[route->host];
    const auto place =
        std::ranges::upper_bound(routes, route->path_prefix.size(), std::greater(),
                                 [](const auto& known) { return known->path_prefix.size(); });
    routes.insert(place, std::move(route));
    ++size_;
}

const route_rule* route_index::find(std::string_view host, std::string_view path) const
{
    const auto routes = hosts_.find(host);
    if (routes == hosts_.end()) {
        return nullptr;
    }
    const auto found = std::ranges::find_if(
        routes->second, [&](const auto& route) { return path.starts_with(route->path_prefix); });
    return found == routes->second.end() ? nullptr : found->get();
}

} // namespace snipespar::gateway
