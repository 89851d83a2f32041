#include "net/response_feed.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>

namespace snipespar::net {

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
    parser.eager(!is_head);
    const auto used = parser.put(boost::asio::buffer(input), error);
    checked_ -= std::min(checked_, used);
    return used;
}

} // namespace snipespar::net
