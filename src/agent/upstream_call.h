#pragma once

#include "link/frame.h"
#include "snipespar/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipespar::agent {

/// Address and timeouts of an upstream.
struct upstream_address {
    std::string ip;
    std::uint16_t port = 0;
    duration connect_timeout = std::chrono::seconds(2);
    /// Maximum time without progress during an exchange.
    duration progress_timeout = std::chrono::seconds(10);
};

/// One exchange with the upstream for one stream of a link. It opens its own connection, so that a
/// response can never belong to another request, and emits the stream's frames: `started` before
/// the first byte is sent, then the response, then exactly one of `done`, `failed` and `refused`.
///
/// Everything runs on the executor's thread.
class upstream_call : public std::enable_shared_from_this<upstream_call> {
public:
    using emit_function = std::function<void(const link::frame&)>;
    /// Called once, after the last frame was emitted.
    using finished_function = std::function<void()>;

    /// `software`: version of the upstream's software; empty if it states none. A stream that
    /// another version began is refused.
    upstream_call(const boost::asio::any_io_executor& executor, upstream_address upstream,
                  link::run_request request, std::string software, emit_function emit);

    /// Starts the exchange.
    void start(finished_function finished);

    /// Grants window for that many more bytes of the response.
    void add_window(std::uint64_t bytes);

    /// Cancels the exchange by closing the connection; nothing is emitted afterwards.
    void cancel();

    const link::run_request& request() const { return request_; }

private:
    using tcp_stream = boost::beast::tcp_stream;

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> exchange();
    boost::asio::awaitable<void> wait_for_window();
    template <class Source>
    boost::asio::awaitable<void> read_tokens(Source& source);
    template <class Source>
    boost::asio::awaitable<void> read_body(Source& source);
    template <class Source>
    boost::asio::awaitable<std::string> read_some(Source& source);
    bool handle_event(const std::string& event);
    void emit(const link::frame& message);
    void consume_window(std::uint64_t bytes);
    void fail(std::string reason);
    bool is_engine_call() const { return !request_.adapter.adapter.empty(); }

    tcp_stream stream_;
    boost::asio::steady_timer window_changed_;
    upstream_address upstream_;
    link::run_request request_;
    std::string software_;
    emit_function emit_;
    std::uint64_t window_;
    std::uint64_t next_token_;
    std::uint64_t prompt_tokens_ = 0;
    std::string finish_reason_;
    bool end_seen_ = false;
    bool started_ = false;
    bool ended_ = false;
    bool cancelled_ = false;
};

} // namespace snipespar::agent
