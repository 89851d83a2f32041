#pragma once

#include "cli/endpoint.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <map>
#include <string>

namespace snipespar::testing {

/// Upper bound of every wait in tests; reached only when a test fails, also on slow machines.
constexpr std::chrono::seconds wait_limit{30};

/// Header fields of a request or an answer; names of answers are in lower case.
using header_fields = std::map<std::string, std::string>;

/// A whole answer.
struct http_reply {
    unsigned status = 0;
    header_fields headers;
    std::string body;

    /// The value of a field named in lower case, or an empty text.
    std::string header(const std::string& name) const;
};

/// One request as a caller sends it.
struct http_call {
    std::string method = "GET";
    std::string target = "/";
    header_fields headers;
    std::string body;
};

/// Sends one request on a connection of its own and reads the whole answer. Fails when the peer
/// cannot be reached, closes early, sends something else than HTTP or exceeds `limit`.
absl::StatusOr<http_reply> send_call(const cli::endpoint& peer, const http_call& call,
                                     std::chrono::milliseconds limit = wait_limit);

/// Sends raw bytes, half-closes and returns whatever comes back until the peer closes or `limit`
/// has passed.
std::string send_bytes(const cli::endpoint& peer, const std::string& bytes,
                       std::chrono::milliseconds limit = wait_limit);

} // namespace snipespar::testing
