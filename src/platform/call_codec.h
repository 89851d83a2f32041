#pragma once

#include "gateway/answer_header.h"
#include "gateway/attempt_header.h"
#include "gateway/call.h"

#include <absl/status/statusor.h>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace snipespar::platform {

/// The request id given by the caller; empty if there is none, or one that is not UTF-8.
std::string
request_id_of(const boost::beast::http::request<boost::beast::http::string_body>& message);

/// Decodes a caller's request. InvalidArgument names the invalid header field, or `target`. Names
/// in a call are UTF-8; header fields that are only forwarded may hold any bytes that HTTP allows.
absl::StatusOr<gateway::call>
decode_call(boost::beast::http::request<boost::beast::http::string_body> message);

/// Encodes the header of the request to an upstream, including the empty line that ends it. The
/// body follows unchanged.
std::string encode_attempt(const gateway::call& call, const gateway::attempt_header& attempt);

/// Decodes the header of an upstream's response.
gateway::answer_header decode_answer(const boost::beast::http::response_header<>& header);

} // namespace snipespar::platform
