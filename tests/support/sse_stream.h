#pragma once

#include "support/http_probe.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace snipespar::testing {

/// A caller that reads an answer of server-sent events one by one.
class sse_stream {
public:
    /// Connects, sends the request and reads the answer's header.
    static absl::StatusOr<sse_stream> open(const cli::endpoint& peer, const http_call& call,
                                           std::chrono::milliseconds limit = wait_limit);

    sse_stream(sse_stream&& other) noexcept;
    sse_stream& operator=(sse_stream&& other) noexcept;
    sse_stream(const sse_stream&) = delete;
    sse_stream& operator=(const sse_stream&) = delete;

    /// Closes the connection, which cancels what is still running.
    ~sse_stream();

    unsigned status() const;
    std::string header(const std::string& name) const;

    /// The data of the next event; nothing after the answer's proper end; an error when the answer
    /// is cut off or no event comes in time.
    absl::StatusOr<std::optional<std::string>> next();

private:
    class state;

    explicit sse_stream(std::unique_ptr<state> opened);

    std::unique_ptr<state> state_;
};

} // namespace snipespar::testing
