#pragma once

#include "snipespar/time.h"

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipespar::net {

/// An HTTP client of one server, for short requests and responses. Connections are reused only
/// after a complete response. Runs on the executor of the calling coroutine; calls may overlap.
class http_client {
public:
    using request = boost::beast::http::request<boost::beast::http::string_body>;
    using response = boost::beast::http::response<boost::beast::http::string_body>;

    /// `address` is an IP address. Bodies of responses above `max_body_bytes` are errors.
    http_client(std::string address, std::uint16_t port, std::size_t max_body_bytes);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends one request and reads its response within `timeout`. Unavailable means that no byte
    /// was sent; Unknown that the server may have executed the request.
    boost::asio::awaitable<absl::StatusOr<response>> call(request message, duration timeout);

    /// The same, but asks `goes_on` whenever a part of the response has arrived. Cancelled: it
    /// returned false, and the connection was closed.
    boost::asio::awaitable<absl::StatusOr<response>> call(request message, duration timeout,
                                                          std::function<bool()> goes_on);

private:
    class pool;
    std::shared_ptr<pool> pool_;
};

} // namespace snipespar::net
