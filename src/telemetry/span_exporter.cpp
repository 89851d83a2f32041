#include "telemetry/span_exporter.h"

#include "net/response_reader.h"
#include "telemetry/counter.h"
#include "telemetry/metrics_registry.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <iterator>
#include <string>
#include <utility>

namespace snipespar::telemetry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr unsigned http_version_1_1 = 11;

http::request<http::string_body> make_request(const asio::ip::tcp::endpoint& receiver,
                                              std::string body)
{
    http::request<http::string_body> request(http::verb::post, "/v1/traces", http_version_1_1);
    request.set(http::field::host,
                receiver.address().to_string() + ":" + std::to_string(receiver.port()));
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

} // namespace

span_exporter::span_exporter(const asio::any_io_executor& executor,
                             const asio::ip::tcp::endpoint& receiver, trace_resource resource,
                             metrics_registry& metrics, span_exporter_limits limits)
    : receiver_(receiver), resource_(std::move(resource)), limits_(limits),
      exported_(metrics.make_counter("snipespar_spans_exported_total",
                                     "Spans that the trace receiver accepted.")),
      dropped_(
          metrics.make_counter("snipespar_spans_dropped_total",
                               "Spans dropped because the queue was full or the export failed.")),
      timer_(executor)
{
}

void span_exporter::record(span finished)
{
    {
        const std::lock_guard lock(mutex_);
        if (queue_.size() < limits_.max_queued_spans) {
            queue_.push_back(std::move(finished));
            return;
        }
    }
    dropped_.add();
}

asio::awaitable<void> span_exporter::run()
{
    while (!stopping_) {
        timer_.expires_after(limits_.interval);
        co_await timer_.async_wait(use_result);
        co_await export_queued();
    }
    co_await export_queued();
}

void span_exporter::stop()
{
    stopping_ = true;
    timer_.cancel();
}

std::vector<span> span_exporter::take_batch()
{
    const std::lock_guard lock(mutex_);
    const auto count = std::min(queue_.size(), limits_.max_batch_spans);
    const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<span> batch(std::make_move_iterator(queue_.begin()), std::make_move_iterator(end));
    queue_.erase(queue_.begin(), end);
    return batch;
}

asio::awaitable<void> span_exporter::export_queued()
{
    for (auto batch = take_batch(); !batch.empty(); batch = take_batch()) {
        const bool sent = co_await send(batch);
        (sent ? exported_ : dropped_).add(batch.size());
        if (!sent) {
            co_return;
        }
    }
}

asio::awaitable<bool> span_exporter::send(const std::vector<span>& batch)
{
    const auto request = make_request(receiver_, to_otlp_json(resource_, batch));
    beast::tcp_stream stream(timer_.get_executor());
    stream.expires_after(limits_.export_timeout);
    if (const auto [error] = co_await stream.async_connect(receiver_, use_result); error) {
        co_return false;
    }
    if (const auto [error, size] = co_await http::async_write(stream, request, use_result); error) {
        co_return false;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> response;
    if (co_await net::response_reader(stream, buffer, response).read_whole()) {
        co_return false;
    }
    co_return http::to_status_class(response.get().result()) == http::status_class::successful;
}

} // namespace snipespar::telemetry
