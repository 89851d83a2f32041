#pragma once

#include <absl/status/status.h>
#include <boost/beast/http/message.hpp>

namespace snipespar::net {

/// Whether a request's header leaves no doubt about where its body ends, beyond what Beast's parser
/// refuses: it takes a request whose Transfer-Encoding does not end in `chunked` as one without a
/// body, so that the body would be read as the next request. InvalidArgument names the field.
absl::Status check_framing(const boost::beast::http::request_header<>& header);

} // namespace snipespar::net
