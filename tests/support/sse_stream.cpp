#include "support/sse_stream.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <string_view>
#include <utility>

namespace snipespar::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned http_version_1_1 = 11;
constexpr std::string_view event_end = "\n\n";
constexpr std::string_view data_prefix = "data:";

// Joins the data lines of one event; comments and other fields are skipped.
std::string event_data(std::string_view event)
{
    std::string data;
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (line.starts_with(data_prefix)) {
            auto value = line.substr(data_prefix.size());
            value.remove_prefix(value.starts_with(' ') ? 1 : 0);
            data += data.empty() ? "" : "\n";
            data += value;
        }
    }
    return data;
}

} // namespace

class sse_stream::state {
public:
    explicit state(std::chrono::milliseconds limit) : limit_(limit), stream_(context_)
    {
        parser_.body_limit(boost::none);
    }

    absl::Status open(const cli::endpoint& peer, const http_call& call)
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

        const asio::ip::tcp::endpoint address(asio::ip::make_address(peer.ip), peer.port);
        boost::system::error_code result;
        stream_.expires_after(limit_);
        stream_.async_connect(address, [&](boost::system::error_code connect_error) {
            result = connect_error;
            if (connect_error) {
                return;
            }
            http::async_write(
                stream_, request, [&](boost::system::error_code write_error, std::size_t) {
                    static_cast<void>(write_error);
                    http::async_read_header(stream_, buffer_, parser_,
                                            [&](boost::system::error_code read_error, std::size_t) {
                                                result = read_error;
                                            });
                });
        });
        run();
        return result ? absl::UnavailableError(result.message()) : absl::OkStatus();
    }

    absl::StatusOr<std::optional<std::string>> next()
    {
        while (true) {
            if (auto event = take_event()) {
                return event;
            }
            if (parser_.is_done()) {
                return std::optional<std::string>();
            }
            if (const auto error = read_some()) {
                return absl::UnavailableError(error.message());
            }
        }
    }

    unsigned status() { return parser_.get().result_int(); }

    std::string header(const std::string& name) { return std::string(parser_.get()[name]); }

private:
    void run()
    {
        context_.restart();
        context_.run();
    }

    boost::system::error_code read_some()
    {
        boost::system::error_code result;
        stream_.expires_after(limit_);
        http::async_read_some(
            stream_, buffer_, parser_,
            [&](boost::system::error_code error, std::size_t) { result = error; });
        run();
        return result;
    }

    // Removes and returns the first complete event with data from the received text.
    std::optional<std::string> take_event()
    {
        auto& text = parser_.get().body();
        for (auto end = text.find(event_end); end != std::string::npos;
             end = text.find(event_end)) {
            auto data = event_data(std::string_view(text).substr(0, end));
            text.erase(0, end + event_end.size());
            if (!data.empty()) {
                return data;
            }
        }
        return std::nullopt;
    }

    std::chrono::milliseconds limit_;
    asio::io_context context_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
};

absl::StatusOr<sse_stream> sse_stream::open(const cli::endpoint& peer, const http_call& call,
                                            std::chrono::milliseconds limit)
{
    auto opened = std::make_unique<state>(limit);
    if (auto result = opened->open(peer, call); !result.ok()) {
        return result;
    }
    return sse_stream(std::move(opened));
}

sse_stream::sse_stream(std::unique_ptr<state> opened) : state_(std::move(opened)) {}
sse_stream::sse_stream(sse_stream&& other) noexcept = default;
sse_stream& sse_stream::operator=(sse_stream&& other) noexcept = default;
sse_stream::~sse_stream() = default;

unsigned sse_stream::status() const
{
    return state_->status();
}

std::string sse_stream::header(const std::string& name) const
{
    return state_->header(name);
}

absl::StatusOr<std::optional<std::string>> sse_stream::next()
{
    return state_->next();
}

} // namespace snipespar::testing
