#pragma once

#include "net/http_client.h"
#include "store/object_store.h"

#include <cstdint>
#include <string>

namespace snipespar::store {

/// The platform's object API over HTTP with JSON lists: objects below `/objects/`, revisions as
/// entity tags, watches as long polls, hosts at `/hosts`.
class http_object_store {
public:
    /// `address` is an IP address; `timeout` bounds each call and is added to the wait of a watch.
    http_object_store(std::string address, std::uint16_t port, duration timeout);

    boost::asio::awaitable<object_reply> perform(request call);

private:
    net::http_client client_;
    duration timeout_;
};

static_assert(object_store<http_object_store>);

} // namespace snipespar::store
