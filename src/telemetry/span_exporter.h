#pragma once

#include "telemetry/otlp_json.h"
#include "telemetry/span.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <vector>

namespace snipespar::telemetry {

class counter;
class metrics_registry;

/// Limits of a span exporter.
struct span_exporter_limits {
    std::size_t max_queued_spans = 8192;
    std::size_t max_batch_spans = 512;
    std::chrono::milliseconds interval{500};
    /// Maximum time of one export, from connecting to the end of the response.
    std::chrono::milliseconds export_timeout{2000};
};

/// Sends finished spans in batches to an OTLP/HTTP receiver. Recording never blocks: spans that
/// find the queue full, and batches whose export fails, are dropped and counted.
class span_exporter {
public:
    /// `metrics` must outlive this object.
    span_exporter(const boost::asio::any_io_executor& executor,
                  const boost::asio::ip::tcp::endpoint& receiver, trace_resource resource,
                  metrics_registry& metrics, span_exporter_limits limits = {});

    /// Queues one span. Any thread may call it.
    void record(span finished);

    /// Exports until `stop`, then sends the queued spans and returns. Must be spawned once on the
    /// executor.
    boost::asio::awaitable<void> run();

    /// Makes `run` finish. Must be called on the executor.
    void stop();

private:
    std::vector<span> take_batch();
    boost::asio::awaitable<void> export_queued();
    boost::asio::awaitable<bool> send(const std::vector<span>& batch);

    boost::asio::ip::tcp::endpoint receiver_;
    trace_resource resource_;
    span_exporter_limits limits_;
    counter& exported_;
    counter& dropped_;
    boost::asio::steady_timer timer_;
    bool stopping_ = false;
    std::mutex mutex_;
    std::deque<span> queue_;
};

} // namespace snipespar::telemetry
