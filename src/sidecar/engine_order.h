#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace snipespar::sidecar {

/// Something that an engine is told to hold or to drop.
struct engine_order {
    enum class operation { load, unload };

    operation op = operation::load;
    std::string model;
    /// Empty for the base model itself.
    std::string adapter;
    /// The newest version if absent.
    std::optional<std::uint64_t> version;
    /// Orders that the engine must have accepted before this one; it refuses the order otherwise.
    std::uint64_t orders_before = 0;
    /// The engine that is meant; any engine at the address if empty.
    std::string upstream = {};

    friend bool operator==(const engine_order&, const engine_order&) = default;
};

} // namespace snipespar::sidecar
