#pragma once

#include "gateway/caller_limits.h"
#include "gateway/route_index.h"
#include "gateway/service_rule.h"
#include "gateway/team_rule.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipespar::gateway {

/// One version of the configuration, indexed for lookups. Immutable after construction.
class fleet_config {
public:
    /// The contents of a configuration.
    struct parts {
        std::uint64_t version = 0;
        route_index routes;
        std::vector<service_rule> services;
        std::vector<team_rule> teams;
        caller_limits limits;
    };

    explicit fleet_config(parts content);
    ~fleet_config() = default;
    fleet_config(const fleet_config&) = delete;
    fleet_config& operator=(const fleet_config&) = delete;

    std::uint64_t version() const { return parts_.version; }
    const caller_limits& limits() const { return parts_.limits; }
    const parts& content() const { return parts_; }

    /// The route of the host with the longest matching path prefix, or null. `path` excludes the
    /// query.
    const route_rule* find_route(std::string_view host, std::string_view path) const
    {
        return parts_.routes.find(host, path);
    }
    const service_rule* find_service(std::string_view name) const;
    /// The team that owns this key, or null.
    const team_rule* find_team(std::string_view key) const;
    /// Whether calls need a key at all.
    bool has_teams() const { return !parts_.teams.empty(); }

private:
    parts parts_;
    std::map<std::string, const service_rule*, std::less<>> services_;
    std::unordered_map<std::string, const team_rule*> keys_;
};

} // namespace snipespar::gateway
