#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>

namespace snipespar::agent {

/// Number that the agent gives to a request for as long as it holds it; never used twice.
using request_number = std::uint64_t;

/// A request as the decision objects of an agent see it.
struct work_item {
    request_number id = 0;
    team_id team;
    /// Weight of the team's priority level; positive.
    double weight = 1.0;
    /// None for plain services.
    std::optional<adapter_ref> adapter;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    /// The request is of no use unless it starts before.
    time_point deadline;
    /// Hash of the content, the same for each copy that a caller sends.
    std::uint64_t fingerprint = 0;
    bool idempotent = false;
    /// Runs with nothing beside it, as it is suspected of crashing upstreams.
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
