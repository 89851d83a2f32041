#include "process/support/persistent_caller.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>

namespace snipespar::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

bool persistent_caller::connect(std::chrono::milliseconds limit)
{
    buffer_.clear();
    stream_.emplace(context_);
    stream_->expires_after(limit);
    beast::error_code result;
    stream_->async_connect({asio::ip::make_address(peer_.ip), peer_.port},
                           [&](const beast::error_code& error) { result = error; });
    context_.restart();
    context_.run();
    return !result;
}

std::optional<http_reply> persistent_caller::send(const http_call& call,
                                                  std::chrono::milliseconds limit)
{
    if (!stream_ && !connect(limit)) {
        stream_.reset();
        return std::nullopt;
    }
    http::request<http::string_body> message{http::string_to_verb(call.method), call.target, 11};
    for (const auto& [name, value] : call.headers) {
        message.set(name, value);
    }
    message.body() = call.body;
    message.prepare_payload();
    http::response_parser<http::string_body> parser;
    beast::error_code result;
    stream_->expires_after(limit);
    http::async_write(*stream_, message, [&](const beast::error_code& error, std::size_t) {
        if (error) {
            result = error;
            return;
        }
        http::async_read(
            *stream_, buffer_, parser,
            [&](const beast::error_code& read_error, std::size_t) { result = read_error; });
    });
    context_.restart();
    context_.run();
    if (result || !parser.is_done()) {
        stream_.reset();
        return std::nullopt;
    }
    http_reply reply;
    reply.status = parser.get().result_int();
    for (const auto& field : parser.get()) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        reply.headers[name] = std::string(field.value());
    }
    reply.body = parser.get().body();
    if (!parser.get().keep_alive()) {
        stream_.reset();
    }
    return reply;
}

} // namespace snipespar::testing
