#include "support/http_probe.h"

#include <absl/status/status.h>
#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <string_view>
#include <tuple>
#include <utility>

namespace snipespar::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr unsigned http_version_1_1 = 11;

tcp::endpoint to_tcp(const cli::endpoint& peer)
{
    return {asio::ip::make_address(peer.ip), peer.port};
}

std::string lower_case(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

http::request<http::string_body> make_request(const http_call& call)
{
    http::request<http::string_body> request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(http_version_1_1);
    request.set(http::field::host, "test");
    for (const auto& [name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

http_reply to_reply(http::response<http::string_body>& response)
{
    http_reply reply{response.result_int(), {}, std::move(response.body())};
    for (const auto& field : response) {
        reply.headers[lower_case(std::string_view(field.name_string()))] =
            std::string(field.value());
    }
    return reply;
}

} // namespace

std::string http_reply::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

absl::StatusOr<http_reply> send_call(const cli::endpoint& peer, const http_call& call,
                                     std::chrono::milliseconds limit)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    const auto request = make_request(call);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(call.method == "HEAD");
    boost::system::error_code result;

    stream.expires_after(limit);
    stream.async_connect(to_tcp(peer), [&](boost::system::error_code connect_error) {
        result = connect_error;
        if (connect_error) {
            return;
        }
        http::async_write(stream, request, [&](boost::system::error_code write_error, std::size_t) {
            // A peer may respond and close before it has read the whole request.
            static_cast<void>(write_error);
            http::async_read(
                stream, buffer, parser,
                [&](boost::system::error_code read_error, std::size_t) { result = read_error; });
        });
    });
    context.run();
    if (result) {
        return absl::UnavailableError(result.message());
    }
    return to_reply(parser.get());
}

std::string send_bytes(const cli::endpoint& peer, const std::string& bytes,
                       std::chrono::milliseconds limit)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    std::string received;
    std::array<char, 4096> chunk{};

    auto read_more = [&](auto& self) -> void {
        stream.async_read_some(asio::buffer(chunk),
                               [&](boost::system::error_code error, std::size_t size) {
                                   received.append(chunk.data(), size);
                                   if (!error) {
                                       self(self);
                                   }
                               });
    };
    stream.expires_after(limit);
    stream.async_connect(to_tcp(peer), [&](boost::system::error_code connect_error) {
        if (connect_error) {
            return;
        }
        asio::async_write(stream, asio::buffer(bytes), [&](boost::system::error_code, std::size_t) {
            boost::system::error_code ignored;
            std::ignore = stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
            read_more(read_more);
        });
    });
    context.run();
    return received;
}

} // namespace snipespar::testing
