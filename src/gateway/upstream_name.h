#pragma once

#include <absl/status/status.h>
#include <string_view>

namespace snipespar::gateway {

/// Whether an upstream may have this name, which is put into header fields, queries, messages and
/// logs as it is: letters, digits and `-._~`, which need no encoding there, and 253 bytes at most.
/// Invalid argument says what is wrong with it.
absl::Status check_upstream_name(std::string_view name);

} // namespace snipespar::gateway
