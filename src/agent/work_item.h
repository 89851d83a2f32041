#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>

namespace snipespar::agent {

/// Identifies a request within the agent; never reused.
using request_number = std::uint64_t;

/// Scheduling properties of a request.
struct work_item {
    request_number id = 0;
    team_id team;
    /// Weight of the team's priority level; positive.
    double weight = 1.0;
    /// None for plain services.
    std::optional<adapter_ref> adapter;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    /// Latest useful start time.
    time_point deadline;
    /// Hash of the content; identical for every copy that a caller sends.
    std::uint64_t fingerprint = 0;
    bool idempotent = false;
    /// Must run alone, as it is suspected of crashing upstreams.
    bool exclusive = false;

    /// Tokens reserved for the request; at least one.
    std::uint64_t cost() const
    {
        const std::uint64_t tokens = std::uint64_t{prompt_tokens} + max_tokens;
        return tokens == 0 ? 1 : tokens;
    }

    friend bool operator==(const work_item&, const work_item&) = default;
};

} // namespace snipespar::agent
