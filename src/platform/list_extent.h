#pragma once

namespace snipespar::platform {

/// What a list of the store shows.
enum class list_extent {
    /// All objects of the kind.
    whole,
    /// Some of them, since the list could not be read to its end. Others may exist.
    part,
};

} // namespace snipespar::platform
