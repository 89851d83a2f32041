#include "telemetry/admin_server.h"

#include "cli/endpoint.h"
#include "net/bind_status.h"
#include "telemetry/spawn_task.h"

#include <absl/cleanup/cleanup.h>
#include <absl/status/status.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <list>
#include <string_view>
#include <tuple>
#include <utility>

namespace snipespar::telemetry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t max_header_bytes = 8 * 1024;
constexpr std::size_t max_connections = 64;
constexpr std::chrono::seconds connection_timeout{10};
constexpr std::chrono::milliseconds accept_retry_delay{100};

using response_type = http::response<http::string_body>;
using request_type = http::request<http::empty_body>;

response_type make_response(http::status status, std::string_view content_type, std::string body)
{
    response_type response;
    response.result(status);
    response.set(http::field::content_type, std::string(content_type));
    response.body() = std::move(body);
    return response;
}

response_type plain_text(http::status status, std::string body)
{
    return make_response(status, "text/plain; charset=utf-8", std::move(body) + "\n");
}

response_type readiness_response(const readiness& state)
{
    return state.ready
               ? plain_text(http::status::ok, "ready")
               : plain_text(http::status::service_unavailable, "not ready: " + state.reason);
}

response_type handle_path(const admin_handlers& handlers, std::string_view path,
                          std::string_view query)
{
    if (path == "/livez") {
        return plain_text(http::status::ok, "live");
    }
    if (path == "/readyz" || path == "/ready") {
        return readiness_response(handlers.ready());
    }
    if (path == "/metrics") {
        return make_response(http::status::ok, "text/plain; version=0.0.4; charset=utf-8",
                             handlers.metrics());
    }
    if (path == "/status") {
        return make_response(http::status::ok, "application/json", handlers.status());
    }
    if (path == "/explain" && handlers.explain) {
        auto answer = handlers.explain(query);
        return make_response(http::int_to_status(answer.status), "application/json",
                             std::move(answer.body));
    }
    return plain_text(http::status::not_found, "no such path");
}

response_type answer_path(const admin_handlers& handlers, std::string_view path,
                          std::string_view query)
{
    try {
        return handle_path(handlers, path, query);
    }
    catch (const std::exception& error) {
        return plain_text(http::status::internal_server_error, error.what());
    }
}

response_type handle_request(const admin_handlers& handlers, const request_type& request)
{
    const std::string target(request.target());
    const auto path = std::string_view(target).substr(0, target.find('?'));
    const auto query = std::string_view(target).substr(std::min(path.size() + 1, target.size()));
    const bool is_get = request.method() == http::verb::get;
    const bool is_head = request.method() == http::verb::head;
    auto response = is_get || is_head ? answer_path(handlers, path, query)
                                      : plain_text(http::status::method_not_allowed,
                                                   "only GET and HEAD are allowed");
    response.version(request.version());
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    if (is_head) {
        response.body().clear();
    }
    return response;
}

} // namespace

// Shared by the server and its coroutines, which may outlive the server while they unwind.
class admin_server::state : public std::enable_shared_from_this<state> {
public:
    state(const asio::any_io_executor& executor, admin_handlers handlers, const logger& log)
        : acceptor_(executor), retry_timer_(executor), handlers_(std::move(handlers)), log_(log)
    {
    }

    boost::system::error_code open(const tcp::endpoint& listen)
    {
        boost::system::error_code error;
        if (acceptor_.open(listen.protocol(), error)) {
            return error;
        }
        if (acceptor_.set_option(asio::socket_base::reuse_address(true), error)) {
            return error;
        }
        if (acceptor_.bind(listen, error)) {
            return error;
        }
        return acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }

    void start()
    {
        spawn_task(acceptor_.get_executor(), log_, "admin_accept",
                   [self = shared_from_this()] { return self->accept(); });
    }

    void stop()
    {
        boost::system::error_code ignored;
        std::ignore = acceptor_.close(ignored);
        retry_timer_.cancel();
        for (auto* const stream : streams_) {
            stream->close();
        }
    }

    tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

private:
    asio::awaitable<void> accept()
    {
        while (acceptor_.is_open()) {
            auto [error, socket] = co_await acceptor_.async_accept(use_result);
            if (error && acceptor_.is_open()) {
                retry_timer_.expires_after(accept_retry_delay);
                co_await retry_timer_.async_wait(use_result);
            }
            if (error) {
                continue;
            }
            if (streams_.size() >= max_connections) {
                // Idle connections must not keep a probe out.
                streams_.front()->close();
            }
            spawn_task(acceptor_.get_executor(), log_, "admin_connection",
                       [self = shared_from_this(),
                        stream = beast::tcp_stream(std::move(socket))]() mutable {
                           return serve(std::move(self), std::move(stream));
                       });
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<state> self, beast::tcp_stream stream)
    {
        const auto place = self->streams_.insert(self->streams_.end(), &stream);
        const absl::Cleanup forget = [&] { self->streams_.erase(place); };
        beast::flat_buffer buffer;
        while (co_await self->serve_one(stream, buffer)) {
            self->streams_.splice(self->streams_.end(), self->streams_, place);
        }
    }

    // Serves one request; false when the connection is to be closed.
    asio::awaitable<bool> serve_one(beast::tcp_stream& stream, beast::flat_buffer& buffer)
    {
        http::request_parser<http::empty_body> parser;
        parser.header_limit(max_header_bytes);
        stream.expires_after(connection_timeout);
        const auto [read_error, read_size] =
            co_await http::async_read(stream, buffer, parser, use_result);
        const bool malformed =
            read_error.category() == make_error_code(http::error::end_of_stream).category() &&
            read_error != http::error::end_of_stream;
        if (read_error && !malformed) {
            co_return false;
        }
        auto response = malformed ? plain_text(http::status::bad_request, "malformed request")
                                  : handle_request(handlers_, parser.get());
        if (malformed) {
            response.keep_alive(false);
            response.prepare_payload();
        }
        const auto [write_error, write_size] =
            co_await http::async_write(stream, response, use_result);
        co_return !write_error && response.keep_alive() && acceptor_.is_open();
    }

    tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    admin_handlers handlers_;
    logger log_;
    /// The longest idle one first.
    std::list<beast::tcp_stream*> streams_;
};

absl::StatusOr<std::unique_ptr<admin_server>>
admin_server::make(const asio::any_io_executor& executor, const tcp::endpoint& listen,
                   admin_handlers handlers, const logger& log)
{
    auto shared = std::make_shared<state>(executor, std::move(handlers), log);
    if (const auto error = shared->open(listen); error) {
        return net::bind_status(cli::endpoint{listen.address().to_string(), listen.port()}.str(),
                                error);
    }
    shared->start();
    return std::unique_ptr<admin_server>(new admin_server(std::move(shared)));
}

admin_server::admin_server(std::shared_ptr<state> shared) : state_(std::move(shared)) {}

admin_server::~admin_server()
{
    state_->stop();
}

tcp::endpoint admin_server::local_endpoint() const
{
    return state_->local_endpoint();
}

} // namespace snipespar::telemetry
