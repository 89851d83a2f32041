#pragma once

#include <cstdint>

namespace snipespar::gateway {

/// Why a call needs a permit, which determines who issues it.
enum class permit_kind : std::uint8_t {
    /// The upstream has named a request rate; one gateway issues the permits of all.
    named_rate,
    /// The engine is cold; its sidecar issues the permits.
    cold_engine,
};

} // namespace snipespar::gateway
