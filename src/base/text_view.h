#pragma once

#include <absl/strings/string_view.h>
#include <string_view>

namespace snipespar {

/// Debian builds Abseil with its own string view type; these functions convert without a copy.
inline absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

inline std::string_view to_std(absl::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace snipespar
