#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace snipespar::gateway {

/// Decoded header of an upstream's response.
struct answer_header {
    unsigned status = 0;
    std::string reason;
    /// Id of the request it responds to; empty if not stated.
    std::string request_id;
    /// The upstream that responded; empty if not stated.
    std::string upstream;
    /// The upstream states that it has not run the call and will not.
    bool is_not_run = false;
    /// The body is not the upstream's own bytes.
    bool is_encoded = false;
    bool is_event_stream = false;
    /// The response has a seal header, without which callers do not accept a success.
    bool is_sealed = false;
    /// The upstream is about to stop and accepts no new work.
    bool is_leaving = false;
    /// For this long the upstream asks for no further calls from this gateway.
    std::optional<duration> retry_after;
    /// Requests per second that the upstream takes from all gateways together.
    std::optional<double> rate_limit;
    /// It named a limit that cannot be read.
    bool has_invalid_rate_limit = false;
    /// Seconds for which the upstream keeps an idle connection; 0 if not stated.
    unsigned keep_alive_s = 0;
    /// Header lines that are forwarded unchanged, each with its line end.
    std::string forwarded_header;

    bool is_success() const { return status >= 200 && status < 300; }

    friend bool operator==(const answer_header&, const answer_header&) = default;
};

} // namespace snipespar::gateway
