#pragma once

#include "cli/endpoint.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <map>
#include <string>

namespace snipespar::testing {

/// Upper bound of every wait in tests; reached only when a test fails, even on slow machines.
constexpr std::chrono::seconds wait_limit{30};

/// Header fields of a request or a response; response names are in lower case.
using header_fields = std::map<std::string, std::string>;

/// A complete response.
struct http_reply {
    unsigned status = 0;
    header_fields headers;
    std::string body;

    /// Value of the field with this lower-case name, or an empty string.
    std::string header(const std::string& name) const;
};

/// One request as a caller sends it.
struct http_call {
    std::string method = "GET";
    std::string target = "/";
    header_fields headers;
    std::string body;
};

/// Sends one request on a new connection and reads the complete response. Fails when the peer is
/// unreachable, closes early, does not send HTTP or exceeds `limit`.
absl::StatusOr<http_reply> send_call(const cli::endpoint& peer, const http_call& call,
                                     std::chrono::milliseconds limit = wait_limit);

/// Sends raw bytes, half-closes and returns everything received until the peer closes or `limit`
/// has passed.
std::string send_bytes(const cli::endpoint& peer, const std::string& bytes,
                       std::chrono::milliseconds limit = wait_limit);

} // namespace snipespar::testing
