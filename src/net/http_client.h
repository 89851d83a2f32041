#pragma once

#include "snipespar/time.h"

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipespar::net {

/// Bounds on the waits for a response that may be large.
struct response_timeouts {
    /// From the call until the response begins.
    duration until_begin{};
    /// While it arrives: at least `min_transfer_bytes` in each of these spans, or its end.
    duration between_parts{};
};

/// What a response must bring in each span; less counts as silence.
constexpr std::size_t min_transfer_bytes = 1024;

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

    /// Sends one request and reads a response that may be large. Its time is bounded by silence,
    /// not by its length. Cancelled: `goes_on`, which is asked whenever a part of the response has
    /// arrived, returned false. Errors otherwise as above.
    boost::asio::awaitable<absl::StatusOr<response>>
    call(request message, response_timeouts timeouts, std::function<bool()> goes_on);

private:
    class pool;
    std::shared_ptr<pool> pool_;
};

} // namespace snipespar::net
