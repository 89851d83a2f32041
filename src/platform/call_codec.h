#pragma once

#include "gateway/answer_header.h"
#include "gateway/attempt_header.h"
#include "gateway/call.h"

#include <absl/status/statusor.h>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace snipespar::platform {

/// The caller's name for the request; empty if there is none.
std::string
request_id_of(const boost::beast::http::request<boost::beast::http::string_body>& message);

/// Decodes a caller's request. InvalidArgument names the faulty header line.
absl::StatusOr<gateway::call>
decode_call(boost::beast::http::request<boost::beast::http::string_body> message);

/// The head of the request that an upstream is sent, up to and with its empty line. The body
/// follows as it is.
std::string encode_attempt(const gateway::call& call, const gateway::attempt_header& attempt);

/// Decodes the head of an upstream's answer.
gateway::answer_header decode_answer(const boost::beast::http::response_header<>& header);

} // namespace snipespar::platform
