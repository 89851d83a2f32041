#pragma once

#include "config/snapshot.h"
#include "snipespar/finding.h"

#include <concepts>
#include <variant>

namespace snipespar::config {

/// The snapshot that a change results in, or the reasons why it does not apply.
using change_result = std::variant<snapshot, findings>;

/// A change of an environment. It is applied again to the newer base whenever another operator's
/// change was accepted first, so it must not depend on earlier calls unless documented otherwise.
template <class Change>
concept config_change = requires(Change& change, const snapshot& base) {
    { change.apply_to(base) } -> std::same_as<change_result>;
};

} // namespace snipespar::config
