#include "net/request_framing.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace snipespar::net {

namespace http = boost::beast::http;

absl::Status check_framing(const http::request_header<>& header)
{
    const auto codings = header.count(http::field::transfer_encoding);
    if (codings == 0) {
        return absl::OkStatus();
    }
    constexpr unsigned http_1_1 = 11;
    if (header.version() < http_1_1) {
        return absl::InvalidArgumentError("Transfer-Encoding: is not a part of HTTP/1.0");
    }
    if (codings != 1 || !boost::beast::iequals(header[http::field::transfer_encoding], "chunked")) {
        return absl::InvalidArgumentError("Transfer-Encoding: must be chunked, once");
    }
    if (header.count(http::field::content_length) != 0) {
        return absl::InvalidArgumentError("Content-Length: must not stand beside chunked");
    }
    return absl::OkStatus();
}

} // namespace snipespar::net
