#pragma once

namespace snipespar::sidecar {

/// What became of an order.
enum class order_result {
    /// It is carried out, or what it asks for holds already.
    accepted,
    /// The engine is busy, or its count of orders is another one.
    conflict,
    /// It was refused for another reason.
    refused,
    /// No answer: it may have been accepted, or may be later.
    unknown,
};

} // namespace snipespar::sidecar
