#include "config/references.h"

#include "config/snapshot.h"

#include <algorithm>
#include <fmt/core.h>
#include <set>
#include <utility>

namespace snipespar::config {

namespace {

bool has_version(const adapter& item, const std::string& version)
{
    return std::ranges::find(item.versions, version, &adapter_version::version) !=
           item.versions.end();
}

void check_grant(const snapshot& config, const adapter& item, const adapter_grant& grant,
                 findings& out)
{
    const auto path = fmt::format("adapters.{}.grants.{}", item.id.str(), grant.team.str());
    if (!config.teams.contains(grant.team)) {
        out.push_back({path, fmt::format("there is no team `{}`", grant.team.str())});
    }
    for (const auto& version : grant.versions) {
        if (!has_version(item, version)) {
            out.push_back(
                {path, fmt::format("adapter `{}` has no version `{}`", item.id.str(), version)});
        }
    }
    if (!has_version(item, grant.default_version)) {
        out.push_back({path, fmt::format("adapter `{}` has no version `{}` to be the default",
                                         item.id.str(), grant.default_version)});
    }
    else if (!grant.versions.empty() &&
             std::ranges::find(grant.versions, grant.default_version) == grant.versions.end()) {
        out.push_back({path, fmt::format("the default version `{}` is not among `versions`",
                                         grant.default_version)});
    }
}

std::set<std::string> names_served(const snapshot& config, upstream_kind kind)
{
    std::set<std::string> names;
    for (const auto& [id, item] : config.upstreams) {
        if (item.kind == kind) {
            names.insert(item.serves);
        }
    }
    return names;
}

void check_adapters(const snapshot& config, findings& out)
{
    const auto models = names_served(config, upstream_kind::engine);
    for (const auto& [id, item] : config.adapters) {
        if (!models.contains(item.base_model)) {
            out.push_back({fmt::format("adapters.{}", id.str()),
                           fmt::format("no engine serves base model `{}`", item.base_model)});
        }
        for (const auto& grant : item.grants) {
            check_grant(config, item, grant, out);
        }
    }
}

void check_routes(const snapshot& config, findings& out)
{
    const auto services = names_served(config, upstream_kind::service);
    std::set<std::string> prefixes;
    for (const auto& item : config.routes) {
        const auto path = fmt::format("routes.{}", item.id.str());
        if (!services.contains(item.service)) {
            out.push_back({path, fmt::format("no upstream serves `{}`", item.service)});
        }
        if (!prefixes.insert(item.path_prefix).second) {
            out.push_back(
                {path, fmt::format("another route has the prefix `{}`", item.path_prefix)});
        }
    }
}

void check_upstreams(const snapshot& config, findings& out)
{
    std::set<std::pair<std::string, std::uint16_t>> addresses;
    for (const auto& [id, item] : config.upstreams) {
        if (!addresses.emplace(item.agent_address, item.agent_port).second) {
            out.push_back({fmt::format("upstreams.{}", id.str()),
                           fmt::format("another upstream has the agent address {}:{}",
                                       item.agent_address, item.agent_port)});
        }
    }
}

void check_keys(const snapshot& config, findings& out)
{
    for (const auto& [id, key] : config.keys) {
        if (!key.withdrawn && !config.teams.contains(key.team)) {
            out.push_back({fmt::format("keys.{}", id.str()),
                           fmt::format("belongs to team `{}`, which the document does not have; "
                                       "withdraw the key first",
                                       key.team.str())});
        }
    }
}

} // namespace

findings check_references(const snapshot& config)
{
    findings out;
    check_adapters(config, out);
    check_routes(config, out);
    check_upstreams(config, out);
    check_keys(config, out);
    return out;
}

} // namespace snipespar::config
