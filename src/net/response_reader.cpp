#include "net/response_reader.h"

#include "net/connection_end.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>

namespace snipespar::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Bytes that one read takes at most.
constexpr std::size_t read_size = 32UL * 1024;

} // namespace

asio::awaitable<beast::error_code> response_reader::read_head()
{
    beast::error_code error;
    while (!error && !parser_.is_header_done()) {
        error = co_await read_some();
    }
    co_return error;
}

asio::awaitable<beast::error_code> response_reader::read_whole()
{
    beast::error_code error;
    while (!error && !parser_.is_done()) {
        error = co_await read_some();
    }
    co_return error;
}

asio::awaitable<beast::error_code> response_reader::read_some()
{
    beast::error_code error;
    if (parse(error) || error) {
        co_return error;
    }
    const auto room = std::min(buffer_.max_size() - buffer_.size(), read_size);
    if (room == 0) {
        co_return http::error::buffer_overflow;
    }
    const auto [read_error, count] = co_await stream_.async_read_some(
        buffer_.prepare(room), asio::as_tuple(asio::use_awaitable));
    buffer_.commit(count);
    received_ += count;
    if (read_error) {
        co_return read_error == asio::error::eof ? end() : read_error;
    }
    parse(error);
    co_return error;
}

// Parses the buffered bytes up to the end of the head, or all. Returns whether the parser used
// some.
bool response_reader::parse(beast::error_code& error)
{
    const bool was_head = !parser_.is_header_done();
    bool has_progress = false;
    while (buffer_.size() != 0 && !parser_.is_done() && was_head == !parser_.is_header_done()) {
        const auto bytes = buffer_.cdata();
        const auto used =
            feed_.put(parser_, {static_cast<const char*>(bytes.data()), bytes.size()}, error);
        buffer_.consume(used);
        has_progress = has_progress || used != 0;
        if (error == http::error::need_more) {
            error = {};
            break;
        }
        if (error || used == 0) {
            break;
        }
    }
    return has_progress;
}

// The peer has ended the connection.
beast::error_code response_reader::end()
{
    if (!parser_.got_some()) {
        return http::error::end_of_stream;
    }
    beast::error_code error;
    parser_.put_eof(error);
    if (!error && parser_.need_eof() && !is_end_of_answer(stream_.socket(), head_.result_int())) {
        error = asio::error::make_error_code(asio::error::connection_reset);
    }
    return error;
}

} // namespace snipespar::net
