#pragma once

#include "net/response_feed.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>

namespace snipespar::net {

/// Reads one response into its parser, as Beast's functions do, but believes neither a head that is
/// broken nor the end of a connection that is: see `response_head_check` and `is_end_of_answer`.
/// The request was written completely before. All three objects outlive the reader.
class response_reader {
public:
    template <class Body>
    response_reader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                    boost::beast::http::response_parser<Body>& target)
        : stream_(stream), buffer_(buffer), parser_(target), head_(target.get().base())
    {
    }

    /// Reads until the head is complete.
    boost::asio::awaitable<boost::beast::error_code> read_head();

    /// Parses what was read already, or reads once. `need_buffer`: the body has no room for more.
    boost::asio::awaitable<boost::beast::error_code> read_some();

    /// Reads until the response is complete.
    boost::asio::awaitable<boost::beast::error_code> read_whole();

    /// Bytes that have arrived.
    std::size_t received() const { return received_; }

private:
    using parser = boost::beast::http::basic_parser<false>;

    bool parse(boost::beast::error_code& error);
    boost::beast::error_code end();

    boost::beast::tcp_stream& stream_;
    boost::beast::flat_buffer& buffer_;
    parser& parser_;
    const boost::beast::http::response_header<>& head_;
    response_feed feed_;
    std::size_t received_ = 0;
};

} // namespace snipespar::net
