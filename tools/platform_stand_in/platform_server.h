#pragma once

#include "object_table.h"
#include "snipespar/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipespar::stand_in {

/// Rate limits and list delay of the stand-in.
struct platform_limits {
    std::uint64_t writes_per_s = 500;
    std::uint64_t reads_per_s = 2000;
    /// Delay until a change of the host list becomes visible.
    std::chrono::milliseconds host_lag{0};
};

/// The platform's object API and host list over HTTP on loopback, with fault injection. Clients
/// that use different ports can be cut off separately.
class platform_server {
public:
    platform_server(boost::asio::io_context& context, platform_limits limits);

    /// Listens on a loopback port.
    void listen(std::uint16_t port);

private:
    using request = boost::beast::http::request<boost::beast::http::string_body>;
    using response = boost::beast::http::response<boost::beast::http::string_body>;
    using answer = std::optional<response>;

    boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor acceptor);
    boost::asio::awaitable<void> serve(boost::beast::tcp_stream stream, std::uint16_t port);
    boost::asio::awaitable<answer> respond(const request& message, std::uint16_t port);
    boost::asio::awaitable<answer> object_call(const request& message);
    boost::asio::awaitable<store::object_reply> watch(store::watch_object call);
    answer list_hosts();
    response set_host(const request& message);
    response set_faults(const request& message);
    response stats() const;
    bool is_over_rate(bool is_write);

    boost::asio::io_context& context_;
    platform_limits limits_;
    object_table table_;
    // Cancelled at each change, so that pending watches check again.
    boost::asio::steady_timer changed_;
    std::vector<store::host_record> hosts_;
    std::optional<std::uint16_t> cut_port_;
    std::int64_t second_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t total_writes_ = 0;
    std::uint64_t total_reads_ = 0;
};

} // namespace snipespar::stand_in
