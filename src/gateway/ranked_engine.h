#pragma once

#include <cstdint>

namespace snipespar::gateway {

struct upstream_state;

/// An engine in the ranking of an adapter.
struct ranked_engine {
    double score = 0;
    double load = 0;
    /// Predicted time until it would begin the call, were the adapter resident; 0 while unknown.
    double start_ms = 0;
    std::uint64_t address_hash = 0;
    const upstream_state* state = nullptr;

    /// Whether a call is expected to begin sooner than on the other one.
    bool is_better_than(const ranked_engine& other) const
    {
        return start_ms != other.start_ms ? start_ms < other.start_ms : load < other.load;
    }
};

} // namespace snipespar::gateway
