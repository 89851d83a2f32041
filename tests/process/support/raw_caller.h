#pragma once

#include "cli/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace snipespar::testing {

/// A caller that reads and writes its connection step by step. Its receive buffer is small, so that
/// a peer soon has to wait until the caller reads. Every operation ends after the tests' limit.
class raw_caller {
public:
    explicit raw_caller(const cli::endpoint& peer);

    /// Whether the connection was established.
    bool is_connected() const { return is_connected_; }

    /// Sends all bytes; false if the peer refused them.
    bool send(std::string_view bytes);

    /// Receives up to `bytes` of what has arrived; empty once the peer has closed.
    std::string read_some(std::size_t bytes);

    /// Returns everything received until the peer closes the connection in order or resets it.
    std::string read_to_end();

    /// Whether what was read last ended otherwise than by an orderly close of the peer.
    bool was_reset() const { return was_reset_; }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    bool is_connected_ = false;
    bool was_reset_ = false;
};

} // namespace snipespar::testing
