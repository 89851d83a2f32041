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

/// Answers who a caller is and what it may run under one snapshot. Immutable, so any thread may use
/// it; replaced whole with the snapshot.
class access {
public:
    explicit access(std::shared_ptr<const snapshot> config);

    const snapshot& config() const { return *config_; }

    /// The caller to whom the presented key belongs. Keys are found by their hash, and the hashes
    /// are compared in constant time.
    std::variant<caller, access_error> identify(std::string_view presented_key) const;

    /// Whether a key that was accepted earlier still stands, for streams and for requests that were
    /// identified by another process.
    bool is_valid(const key_id& key) const;

    /// The adapter and version that `model` (`adapter` or `adapter@version`) means to the team. A
    /// bare name means the version that the team's grant sets.
    std::variant<adapter_ref, access_error> resolve(const team_id& team,
                                                    std::string_view model) const;

    /// The route with the longest prefix of the request target, or null. A prefix matches whole
    /// path segments. Targets with dot segments, empty segments, backslashes or encoded slashes and
    /// dots match none, because an upstream may read them as another path.
    const route* find_route(std::string_view target) const;

private:
    std::shared_ptr<const snapshot> config_;
    std::unordered_map<std::string_view, const api_key*> keys_by_hash_;
};

} // namespace snipespar::config
