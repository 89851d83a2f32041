#pragma once

#include <cstdint>
#include <string>

namespace snipespar::gateway {

/// The head of an upstream's answer, decoded.
struct answer_header {
    unsigned status = 0;
    std::string reason;
    /// The call that is answered; empty when the upstream does not say.
    std::string request_id;
    /// The upstream that answered, if it says so.
    std::string upstream;
    /// The upstream states that it has not run the call and will not.
    bool is_not_run = false;
    /// The body is not the upstream's own bytes.
    bool is_encoded = false;
    bool is_event_stream = false;
    /// The answer carries the upstream's seal, without which callers do not accept a success.
    bool is_sealed = false;
    /// Seconds for which the upstream keeps an idle connection; 0 when it does not say.
    unsigned keep_alive_s = 0;
    /// Header lines that are passed on as they came, each with its line end.
    std::string forwarded_header;

    bool is_success() const { return status >= 200 && status < 300; }

    friend bool operator==(const answer_header&, const answer_header&) = default;
};

} // namespace snipespar::gateway
