#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>

namespace users_platform_stand_in {

using request = boost::beast::http::request<boost::beast::http::string_body>;
using response = boost::beast::http::response<boost::beast::http::string_body>;

/// Responds to one request; false when the connection is to be closed.
using handler =
    std::function<boost::asio::awaitable<bool>(boost::asio::ip::tcp::socket&, const request&)>;

/// Accepts connections on an address `ip:port` and passes their requests to `handle`, which must
/// outlive the context. Throws when the address cannot be bound.
void serve(boost::asio::io_context& context, const std::string& listen, const handler& handle);

/// Sends a complete response; false when the connection is broken.
boost::asio::awaitable<bool> send(boost::asio::ip::tcp::socket& socket,
                                  const request& request_message, response answer);

/// Makes a response with a JSON body.
response json_answer(unsigned status, const std::string& body);

} // namespace users_platform_stand_in
