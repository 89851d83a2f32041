#pragma once

#include <span>

namespace snipespar::cli {

struct setting;

/// Settings of `snipespar entry`.
std::span<const setting> entry_table();

/// Settings of `snipespar agent`.
std::span<const setting> agent_table();

/// Settings of `snipespar gateway`.
std::span<const setting> gateway_table();

/// Settings of `snipespar sidecar`.
std::span<const setting> sidecar_table();

/// Settings of `snipespar check`, which works on a local file only.
std::span<const setting> check_table();

/// Settings of the operator commands that reach the platform.
std::span<const setting> operator_table();

/// Settings of `snipespar promote`.
std::span<const setting> promote_table();

/// Settings of `snipespar explain`.
std::span<const setting> explain_table();

} // namespace snipespar::cli
