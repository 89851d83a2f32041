#pragma once

#include "store/object.h"
#include "store/object_reply.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>

namespace snipespar::store {

/// The platform's object API. Each variant of the API is a class with this function. Calls may
/// overlap; none throws.
template <class Store>
concept object_store = requires(Store& store, request call) {
    { store.perform(std::move(call)) } -> std::same_as<boost::asio::awaitable<object_reply>>;
};

} // namespace snipespar::store
