#include "config/key_change.h"

#include <fmt/core.h>

namespace snipespar::config {

change_result key_issue::apply_to(const snapshot& base) const
{
    if (!base.teams.contains(key_.team)) {
        return findings{{"--team", fmt::format("there is no team `{}`", key_.team.str())}};
    }
    auto next = base;
    if (!next.keys.emplace(key_.id, key_).second) {
        return findings{{"key", fmt::format("there is a key `{}` already", key_.id.str())}};
    }
    return next;
}

change_result key_withdrawal::apply_to(const snapshot& base) const
{
    auto next = base;
    const auto found = next.keys.find(key_);
    if (found == next.keys.end()) {
        return findings{{"key", fmt::format("there is no key `{}`", key_.str())}};
    }
    found->second.withdrawn = true;
    return next;
}

} // namespace snipespar::config
