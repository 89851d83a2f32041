#pragma once

#include "link/frame/header_field.h"
#include "snipespar/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipespar::link {

/// Asks an agent to run one request on its upstream. It carries the public id of the key that was
/// checked, never the key.
struct run_request {
    /// Identifies the stream on this link; chosen by the entry, never reused on one link.
    std::uint64_t stream = 0;
    std::string request_id;
    /// Number of this attempt at the request; frames of an earlier attempt are dropped.
    std::uint32_t attempt = 0;
    team_id team;
    key_id key;
    /// Empty adapter for plain services.
    adapter_ref adapter;
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 0;
    /// Tokens that the caller already has, when a stream is resumed.
    std::uint64_t resume_from = 0;
    /// Time left until the caller's deadline.
    std::uint64_t deadline_ms = 0;
    /// Bytes of the response that may be sent before a `window` frame allows more.
    std::uint64_t window_bytes = 0;
    bool idempotent = false;
    /// Must run alone on its upstream, because it is suspected of crashing upstreams.
    bool exclusive = false;
    /// Identifies equal requests of one team across the fleet.
    std::uint64_t fingerprint = 0;
    std::string traceparent;
    /// Location from which the engine reads the adapter's weights.
    std::string adapter_source;
    /// The team's weight in fair queueing, in thousandths.
    std::uint64_t team_weight_milli = 1000;
    /// Configuration version under which the entry admitted the request.
    std::uint64_t config_version = 0;
    /// The software version that produced the tokens which the caller already has.
    std::string software;

    friend bool operator==(const run_request&, const run_request&) = default;
};

} // namespace snipespar::link
