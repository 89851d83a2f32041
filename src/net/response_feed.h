#pragma once

#include "net/response_head_check.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <string_view>

namespace snipespar::net {

/// Gives the bytes of one response to its parser. The head and the trailers are checked before it.
class response_feed {
public:
    /// As the parser's `put` for a contiguous input: returns how many bytes were used, and the rest
    /// is given again with what follows. One call ends with the head at the latest; the body of a
    /// chunked response takes a call for each chunk.
    std::size_t put(boost::beast::http::basic_parser<false>& parser, std::string_view input,
                    boost::beast::error_code& error);

private:
    response_head_check head_;
    /// The parser has taken a part of the body.
    bool has_body_ = false;
    /// Bytes of the next input that were checked already.
    std::size_t checked_ = 0;
};

} // namespace snipespar::net
