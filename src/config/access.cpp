#include "config/access.h"

#include "base/digest.h"
#include "config/snapshot.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace snipespar::config {

namespace {

// Whether two programs could normalize the path differently.
bool is_ambiguous(std::string_view path)
{
    constexpr std::array<std::string_view, 8> ambiguous_sequences = {"//",  "\\",  "/./", "/../",
                                                                     "%2e", "%2f", "%5c", "%00"};
    std::string lower(path);
    std::ranges::transform(lower, lower.begin(), [](unsigned char byte) {
        return static_cast<char>(std::tolower(byte));
    });
    return !lower.starts_with('/') || lower.ends_with("/.") || lower.ends_with("/..") ||
           std::ranges::any_of(ambiguous_sequences, [&](std::string_view sequence) {
               return lower.find(sequence) != std::string::npos;
           });
}

bool matches_prefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

const adapter_grant* find_grant(const adapter& item, const team_id& team)
{
    const auto found = std::ranges::find(item.grants, team, &adapter_grant::team);
    return found == item.grants.end() ? nullptr : &*found;
}

} // namespace

access::access(std::shared_ptr<const snapshot> config) : config_(std::move(config))
{
    keys_by_hash_.reserve(config_->keys.size());
    for (const auto& [id, key] : config_->keys) {
        keys_by_hash_.emplace(key.sha256, &key);
    }
}

std::variant<caller, access_error> access::identify(std::string_view presented_key) const
{
    const auto hash = sha256_hex(presented_key);
    const auto found = keys_by_hash_.find(hash);
    if (found == keys_by_hash_.end() || !equal_in_constant_time(found->second->sha256, hash)) {
        return access_error::unknown_key;
    }
    const auto& key = *found->second;
    if (key.withdrawn) {
        return access_error::withdrawn_key;
    }
    return caller{key.team, key.id};
}

bool access::is_valid(const key_id& key) const
{
    const auto found = config_->keys.find(key);
    return found != config_->keys.end() && !found->second.withdrawn;
}

std::variant<adapter_ref, access_error> access::resolve(const team_id& team,
                                                        std::string_view model) const
{
    const auto at = model.find('@');
    const adapter_id name(std::string(model.substr(0, at)));
    const auto found = config_->adapters.find(name);
    if (found == config_->adapters.end()) {
        return access_error::unknown_adapter;
    }
    const auto* grant = find_grant(found->second, team);
    if (grant == nullptr) {
        return access_error::not_allowed;
    }
    if (at == std::string_view::npos) {
        return adapter_ref{name, grant->default_version};
    }
    const std::string version(model.substr(at + 1));
    const auto& versions = found->second.versions;
    if (std::ranges::find(versions, version, &adapter_version::version) == versions.end()) {
        return access_error::unknown_version;
    }
    if (!grant->versions.empty() &&
        std::ranges::find(grant->versions, version) == grant->versions.end()) {
        return access_error::not_allowed;
    }
    return adapter_ref{name, version};
}

const route* access::find_route(std::string_view target) const
{
    const auto path = target.substr(0, target.find_first_of("?#"));
    if (is_ambiguous(path)) {
        return nullptr;
    }
    const route* best = nullptr;
    for (const auto& item : config_->routes) {
        const bool longer = best == nullptr || item.path_prefix.size() > best->path_prefix.size();
        if (longer && matches_prefix(item.path_prefix, path)) {
            best = &item;
        }
    }
    return best;
}

} // namespace snipespar::config
