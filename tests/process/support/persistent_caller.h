#pragma once

#include "cli/endpoint.h"
#include "support/http_probe.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <optional>

namespace snipespar::testing {

/// Caller that reuses its connection until the peer closes it. Used by one thread.
class persistent_caller {
public:
    explicit persistent_caller(cli::endpoint peer) : peer_(std::move(peer)) {}

    /// Sends one request and reads the complete response; nullopt when the connection breaks, the
    /// response ends early, or `limit` passes.
    std::optional<http_reply> send(const http_call& call, std::chrono::milliseconds limit);

private:
    bool connect(std::chrono::milliseconds limit);

    cli::endpoint peer_;
    boost::asio::io_context context_;
    std::optional<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

} // namespace snipespar::testing
