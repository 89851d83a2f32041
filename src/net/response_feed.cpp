#include "net/response_feed.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace snipespar::net {

namespace {

// Beast's parser asserts that it has so many bytes when it comes back to a last chunk, which it has
// not if that is the only one and came in pieces. No chunked body is shorter.
constexpr std::size_t min_chunked_body_bytes = std::string_view("0\r\n\r\n").size();

// Checks the trailers of a chunked response in the last bytes that its parser used: the line end of
// the chunk before, the last chunk's line, and the trailers.
boost::beast::error_code check_trailers(std::string_view last_bytes)
{
    constexpr std::string_view line_end = "\r\n";
    if (last_bytes.starts_with(line_end)) {
        last_bytes.remove_prefix(line_end.size());
    }
    last_bytes.remove_prefix(
        std::min(last_bytes.find(line_end), last_bytes.size() - line_end.size()) + line_end.size());
    boost::beast::error_code error;
    response_head_check::of_trailers().add(last_bytes, error);
    return error;
}

} // namespace

std::size_t response_feed::put(boost::beast::http::basic_parser<false>& parser,
                               std::string_view input, boost::beast::error_code& error)
{
    const bool is_head = !parser.is_header_done();
    if (is_head) {
        checked_ += head_.add(input.substr(checked_), error);
        if (error) {
            return 0;
        }
    }
    if (!is_head && parser.chunked() && !has_body_ && input.size() < min_chunked_body_bytes) {
        error = boost::beast::http::error::need_more;
        return 0;
    }
    // The parser takes the last chunk and the trailers in one step.
    parser.eager(!is_head && !parser.chunked());
    const auto used = parser.put(boost::asio::buffer(input), error);
    checked_ -= std::min(checked_, used);
    has_body_ = has_body_ || (!is_head && used != 0);
    if (!error && parser.is_done() && !is_head && parser.chunked()) {
        error = check_trailers(input.substr(0, used));
    }
    return used;
}

} // namespace snipespar::net
