#pragma once

#include "cli/endpoint.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace snipespar::testing {

/// What an upstream does with a request once it has read its head.
struct raw_answer {
    /// How the connection ends.
    enum class end {
        /// It takes further requests.
        none,
        in_order,
        reset,
        /// The upstream ends its sending, then resets the connection.
        in_order_then_reset,
        /// It resets the connection so much later that the end of its sending has been read.
        in_order_then_late_reset,
    };

    /// Sent one after the other, each in a packet of its own. `{id}` stands for the request's id.
    std::vector<std::string> parts;
    end connection_end = end::none;
};

/// An upstream that answers with any bytes, on its own thread. It reads the bodies of requests only
/// on connections that take further ones.
class raw_upstream {
public:
    /// Listens on a free loopback address.
    explicit raw_upstream(raw_answer answer);
    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;
    ~raw_upstream();

    cli::endpoint address() const { return address_; }

    void set_answer(raw_answer answer);

    /// Requests whose head was read.
    int requests() const { return requests_; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket connection);
    raw_answer answer() const;

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    cli::endpoint address_;
    mutable std::mutex mutex_;
    raw_answer answer_;
    std::atomic<int> requests_ = 0;
    std::thread thread_;
};

} // namespace snipespar::testing
