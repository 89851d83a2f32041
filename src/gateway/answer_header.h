#pragma once

#include "gateway/stated_load.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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
    bool states_not_run = false;
    /// The body is not the upstream's own bytes.
    bool is_encoded = false;
    bool is_event_stream = false;
    /// The body has no stated end: it ends with the connection, as a crash of the upstream may,
    /// too.
    bool ends_with_connection = false;
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
    /// Load of the upstream when it responded; absent if it states none that can be read.
    std::optional<stated_load> load;
    /// Seconds for which the upstream keeps an idle connection; 0 if not stated.
    unsigned keep_alive_s = 0;
    /// Header lines that are forwarded unchanged, each with its line end.
    std::string forwarded_header;

    bool is_success() const { return status >= 200 && status < 300; }

    /// Whether another process than the upstream `asked` has answered, which never runs the call.
    bool is_from_other(std::string_view asked) const
    {
        return !upstream.empty() && upstream != asked;
    }

    /// Whether the call, sent to the upstream `asked`, has not run and never will. A misdirected
    /// call (421) that `asked` itself turns away without saying so may have run.
    bool has_not_run(std::string_view asked) const
    {
        return states_not_run || (is_misdirected() && is_from_other(asked));
    }

    bool is_misdirected() const
    {
        constexpr unsigned misdirected_status = 421;
        return status == misdirected_status;
    }

    friend bool operator==(const answer_header&, const answer_header&) = default;
};

} // namespace snipespar::gateway
