#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace snipespar::sidecar {

/// An order to an engine to load or unload a model or adapter.
struct engine_order {
    enum class operation { load, unload };

    operation op = operation::load;
    std::string model;
    /// Empty for the base model itself.
    std::string adapter;
    /// The newest version if absent.
    std::optional<std::uint64_t> version;
    /// Number of orders the engine must have accepted before this one; otherwise it is refused.
    std::uint64_t orders_before = 0;
    /// The addressed engine incarnation; any engine at the address if empty.
    std::string upstream = {};

    friend bool operator==(const engine_order&, const engine_order&) = default;
};

} // namespace snipespar::sidecar
