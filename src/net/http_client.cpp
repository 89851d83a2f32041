#include "net/http_client.h"

#include "net/response_reader.h"
#include "net/socket_options.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <chrono>
#include <fmt/core.h>
#include <sys/socket.h>
#include <vector>

namespace snipespar::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t max_idle_connections = 4;
// Servers close idle connections after a time-out of their own; older ones are not reused, so that
// a request rarely meets a connection that is being closed.
constexpr auto max_idle_time = std::chrono::seconds(5);
// A long poll may wait much longer for its response than a server takes to accept a connection.
constexpr auto connect_timeout = std::chrono::seconds(1);

// Received bytes beyond a body: a header, or the header of a chunk.
constexpr std::size_t max_unparsed_bytes = 64UL * 1024;

struct connection {
    connection(const asio::any_io_executor& executor, std::size_t max_buffered_bytes)
        : stream(executor), buffer(max_buffered_bytes)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point idle_since;
};

// Whether bytes, which belong to no request, or the end of the connection have arrived.
bool has_input(connection& idle)
{
    char byte = 0;
    return ::recv(idle.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
           errno != EAGAIN;
}

} // namespace

class http_client::pool {
public:
    pool(std::string address, std::uint16_t port, std::size_t max_body_bytes)
        : address_(std::move(address)), port_(port), max_body_bytes_(max_body_bytes)
    {
    }

    std::size_t max_body_bytes() const { return max_body_bytes_; }
    std::string host() const { return fmt::format("{}:{}", address_, port_); }

    // An idle connection that is recent enough to be reused, or null.
    std::unique_ptr<connection> take_idle()
    {
        const auto oldest = std::chrono::steady_clock::now() - max_idle_time;
        while (!idle_.empty()) {
            auto last = std::move(idle_.back());
            idle_.pop_back();
            if (last->idle_since > oldest && !has_input(*last)) {
                return last;
            }
        }
        return nullptr;
    }

    void put_idle(std::unique_ptr<connection> used)
    {
        used->idle_since = std::chrono::steady_clock::now();
        used->stream.expires_never();
        if (idle_.size() < max_idle_connections) {
            idle_.push_back(std::move(used));
        }
    }

    asio::awaitable<absl::StatusOr<std::unique_ptr<connection>>>
    connect(std::chrono::steady_clock::time_point deadline)
    {
        beast::error_code error;
        const auto address = asio::ip::make_address(address_, error);
        if (error) {
            co_return absl::InvalidArgumentError("not an IP address: " + address_);
        }
        auto opened = std::make_unique<connection>(co_await asio::this_coro::executor,
                                                   max_body_bytes_ + max_unparsed_bytes);
        opened->stream.expires_at(
            std::min(deadline, std::chrono::steady_clock::now() + connect_timeout));
        const asio::ip::tcp::endpoint server(address, port_);
        const auto [connect_error] = co_await opened->stream.async_connect(server, as_result);
        if (connect_error) {
            co_return absl::UnavailableError(connect_error.message());
        }
        set_liveness_options(opened->stream.socket());
        co_return opened;
    }

    // Sends a request. The connection keeps the deadline that follows from `timeout`.
    asio::awaitable<absl::StatusOr<std::unique_ptr<connection>>> send(request message,
                                                                      duration timeout);

    // Keeps the connection for the next call if the response allows it.
    response finish(std::unique_ptr<connection> used,
                    http::response_parser<http::string_body>& parser);

private:
    std::string address_;
    std::uint16_t port_;
    std::size_t max_body_bytes_;
    std::vector<std::unique_ptr<connection>> idle_;
};

namespace {

using response_parser = http::response_parser<http::string_body>;

absl::Status read_error_status(const beast::error_code& error)
{
    return absl::UnknownError(error.message());
}

// Reads a response within the time that was set for the stream.
asio::awaitable<absl::Status> read_response(connection& source, response_parser& parser)
{
    response_reader reader(source.stream, source.buffer, parser);
    const auto error = co_await reader.read_whole();
    co_return error ? read_error_status(error) : absl::OkStatus();
}

// Reads a response whose beginning must arrive within the time that was set for the stream.
asio::awaitable<absl::Status> read_response(connection& source, response_parser& parser,
                                            duration between_parts,
                                            const std::function<bool()>& goes_on)
{
    response_reader reader(source.stream, source.buffer, parser);
    std::size_t bytes_of_span = min_transfer_bytes;
    while (!parser.is_done()) {
        const auto before = reader.received();
        const auto error = co_await reader.read_some();
        if (error) {
            co_return read_error_status(error);
        }
        if (parser.is_done()) {
            break;
        }
        if (!goes_on()) {
            co_return absl::CancelledError("the response is not wanted any more");
        }
        bytes_of_span += reader.received() - before;
        if (bytes_of_span >= min_transfer_bytes) {
            bytes_of_span = 0;
            source.stream.expires_after(between_parts);
        }
    }
    co_return absl::OkStatus();
}

} // namespace

asio::awaitable<absl::StatusOr<std::unique_ptr<connection>>>
http_client::pool::send(request message, duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    auto used = take_idle();
    if (used == nullptr) {
        auto opened = co_await connect(deadline);
        if (!opened.ok()) {
            co_return opened.status();
        }
        used = std::move(*opened);
    }
    used->stream.expires_at(deadline);
    message.set(http::field::host, host());
    message.prepare_payload();
    const auto [write_error, written] =
        co_await http::async_write(used->stream, message, as_result);
    if (write_error) {
        const bool is_sent = written > 0 || write_error == beast::error::timeout;
        co_return is_sent ? absl::UnknownError(write_error.message())
                          : absl::UnavailableError(write_error.message());
    }
    co_return used;
}

http_client::response http_client::pool::finish(std::unique_ptr<connection> used,
                                                response_parser& parser)
{
    if (parser.get().keep_alive() && used->buffer.size() == 0) {
        put_idle(std::move(used));
    }
    return parser.release();
}

http_client::http_client(std::string address, std::uint16_t port, std::size_t max_body_bytes)
    : pool_(std::make_shared<pool>(std::move(address), port, max_body_bytes))
{
}

http_client::~http_client() = default;

asio::awaitable<absl::StatusOr<http_client::response>> http_client::call(request message,
                                                                         duration timeout)
{
    const auto shared = pool_;
    response_parser parser;
    parser.body_limit(shared->max_body_bytes());
    parser.skip(message.method() == http::verb::head);
    auto used = co_await shared->send(std::move(message), timeout);
    if (!used.ok()) {
        co_return used.status();
    }
    if (auto status = co_await read_response(**used, parser); !status.ok()) {
        co_return status;
    }
    co_return shared->finish(*std::move(used), parser);
}

asio::awaitable<absl::StatusOr<http_client::response>>
http_client::call(request message, response_timeouts timeouts, std::function<bool()> goes_on)
{
    const auto shared = pool_;
    response_parser parser;
    parser.body_limit(shared->max_body_bytes());
    auto used = co_await shared->send(std::move(message), timeouts.until_begin);
    if (!used.ok()) {
        co_return used.status();
    }
    auto status = co_await read_response(**used, parser, timeouts.between_parts, goes_on);
    if (!status.ok()) {
        co_return status;
    }
    co_return shared->finish(*std::move(used), parser);
}

} // namespace snipespar::net
