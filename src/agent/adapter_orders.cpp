#include "agent/adapter_orders.h"

#include "net/response_reader.h"
#include "telemetry/spawn_task.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace snipespar::agent {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr int http_version = 11;

// Loading may take much longer than any step of a request.
constexpr auto order_timeout = std::chrono::seconds(30);

struct order_message {
    const char* path;
    std::string body;
    std::uint64_t fencing_number;
};

// Returns whether the engine confirmed the order.
asio::awaitable<bool> send_order(upstream_address engine, order_message order)
{
    beast::error_code error;
    const auto ip = asio::ip::make_address(engine.ip, error);
    if (error) {
        co_return false;
    }
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(engine.connect_timeout);
    std::tie(error) =
        co_await stream.async_connect(asio::ip::tcp::endpoint(ip, engine.port), as_result);
    if (error) {
        co_return false;
    }
    http::request<http::string_body> request{http::verb::post, order.path, http_version};
    request.set(http::field::content_type, "application/json");
    request.set(http::field::connection, "close");
    request.set("X-Fencing-Number", std::to_string(order.fencing_number));
    request.body() = std::move(order.body);
    request.prepare_payload();
    stream.expires_after(order_timeout);
    const auto [write_error, written] = co_await http::async_write(stream, request, as_result);
    if (write_error) {
        co_return false;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> response;
    const auto read_error = co_await net::response_reader(stream, buffer, response).read_whole();
    co_return !read_error && response.get().result() == http::status::ok;
}

} // namespace

adapter_orders::adapter_orders(asio::any_io_executor executor, upstream_address engine)
    : executor_(std::move(executor)), engine_(std::move(engine))
{
}

void adapter_orders::load(const std::string& name, const std::string& source,
                          std::uint64_t fencing_number, order_done done) const
{
    const nlohmann::json body{{"lora_name", name}, {"lora_path", source}};
    order("/v1/load_lora_adapter", body.dump(), fencing_number, std::move(done));
}

void adapter_orders::evict(const std::string& name, std::uint64_t fencing_number,
                           order_done done) const
{
    const nlohmann::json body{{"lora_name", name}};
    order("/v1/unload_lora_adapter", body.dump(), fencing_number, std::move(done));
}

void adapter_orders::order(const char* path, std::string body, std::uint64_t fencing_number,
                           order_done done) const
{
    telemetry::spawn_task(executor_, telemetry::logger(), "adapter_order",
                          [engine = engine_,
                           message = order_message{path, std::move(body), fencing_number},
                           done = std::move(done)]() -> asio::awaitable<void> {
                              done(co_await send_order(engine, message));
                          });
}

} // namespace snipespar::agent
