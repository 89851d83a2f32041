#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <set>

namespace snipespar::gateway {

/// Compares what gateways state of the evacuated failure domains, since a watch whose connection
/// has fallen silent does not show that it misses a change. Which of two gateways is behind cannot
/// be told from their statements, so that each reads the store once.
class evacuation_news {
public:
    /// The domains known to this gateway, as read from the store.
    void on_read(const std::set<failure_domain_id>& domains, time_point now);

    /// What this gateway states to others; 0 before the first read.
    std::uint64_t stated() const { return own_; }

    /// Whether to read the store again, as another gateway states something else.
    bool should_read(std::uint64_t peer_statement, time_point now);

private:
    std::uint64_t own_ = 0;
    /// When the own statement last changed.
    time_point changed_at_;
    /// A statement for which the store has been read, without a change so far, and until when that
    /// holds.
    std::uint64_t checked_ = 0;
    time_point checked_until_;
};

} // namespace snipespar::gateway
