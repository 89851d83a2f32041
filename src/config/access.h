#pragma once

#include "config/access_error.h"
#include "config/caller.h"
#include "snipespar/ids.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace snipespar::config {

struct api_key;
struct route;
struct snapshot;

/// Identifies callers and authorizes what they may run under one snapshot. Immutable and therefore
/// thread-safe; replaced together with the snapshot.
class access {
public:
    explicit access(std::shared_ptr<const snapshot> config);

    const snapshot& config() const { return *config_; }

    /// The owner of the presented key. Keys are looked up by their hash, and the hashes are
    /// compared in constant time.
    std::variant<caller, access_error> identify(std::string_view presented_key) const;

    /// Whether a key that was accepted earlier is still valid, for streams and for requests whose
    /// caller was identified by another process.
    bool is_valid(const key_id& key) const;

    /// Resolves `model` (`adapter` or `adapter@version`) to an adapter and version for the team. A
    /// bare name resolves to the default version of the team's grant.
    std::variant<adapter_ref, access_error> resolve(const team_id& team,
                                                    std::string_view model) const;

    /// The route with the longest matching prefix of the request target, or null. Prefixes match
    /// whole path segments. Targets with dot segments, empty segments, backslashes or encoded
    /// slashes and dots match none, because an upstream may normalize them to another path.
    const route* find_route(std::string_view target) const;

private:
    std::shared_ptr<const snapshot> config_;
    std::unordered_map<std::string_view, const api_key*> keys_by_hash_;
};

} // namespace snipespar::config
