#pragma once

namespace snipespar::sidecar {

/// Result of an order.
enum class order_result {
    /// The engine is carrying it out.
    accepted,
    /// The requested state is in effect.
    done,
    /// The engine is busy, or its count of accepted orders differs.
    conflict,
    /// It was refused for another reason.
    refused,
    /// No response: it may have been accepted, or may still be.
    unknown,
};

} // namespace snipespar::sidecar
