#pragma once

namespace snipespar::sidecar {

/// What became of an order.
enum class order_result {
    /// It is being carried out.
    accepted,
    /// What it asks for holds.
    done,
    /// The engine is busy, or its count of orders is another one.
    conflict,
    /// It was refused for another reason.
    refused,
    /// No answer: it may have been accepted, or may be later.
    unknown,
};

} // namespace snipespar::sidecar
