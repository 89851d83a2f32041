#pragma once

#include "support/http_probe.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace snipespar::testing {

/// Client that reads a response of server-sent events one by one.
class sse_stream {
public:
    /// Connects, sends the request and reads the response header.
    static absl::StatusOr<sse_stream> open(const cli::endpoint& peer, const http_call& call,
                                           std::chrono::milliseconds limit = wait_limit);

    sse_stream(sse_stream&& other) noexcept;
    sse_stream& operator=(sse_stream&& other) noexcept;
    sse_stream(const sse_stream&) = delete;
    sse_stream& operator=(const sse_stream&) = delete;

    /// Closes the connection, which cancels a run in progress.
    ~sse_stream();

    unsigned status() const;
    std::string header(const std::string& name) const;

    /// Data of the next event; nullopt after a complete response; an error when the response is
    /// truncated or no event arrives in time.
    absl::StatusOr<std::optional<std::string>> next();

private:
    class state;

    explicit sse_stream(std::unique_ptr<state> opened);

    std::unique_ptr<state> state_;
};

} // namespace snipespar::testing
