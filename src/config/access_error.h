#pragma once

#include <string_view>

namespace snipespar::config {

/// Why a caller may not run what it requested.
enum class access_error {
    /// The request has no key, or one that was never issued.
    unknown_key,
    /// The key was issued and later withdrawn.
    withdrawn_key,
    /// The model name is not `adapter` or `adapter@version`, or there is no such adapter.
    unknown_adapter,
    /// The adapter exists and the team may call it, but it has no such version.
    unknown_version,
    /// The adapter exists, but the team may not call it, or not at that version.
    not_allowed,
};

/// The error's name in error bodies and metrics.
constexpr std::string_view to_string(access_error error)
{
    switch (error) {
    case access_error::unknown_key:
        return "unknown_key";
    case access_error::withdrawn_key:
        return "withdrawn_key";
    case access_error::unknown_adapter:
        return "unknown_adapter";
    case access_error::unknown_version:
        return "unknown_version";
    case access_error::not_allowed:
        break;
    }
    return "not_allowed";
}

} // namespace snipespar::config
