#pragma once

#include "gateway/engine_status.h"
#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::sidecar {

/// The last whole report that was sent to all gateways, and whether a heartbeat may confirm it.
///
/// A gateway takes a heartbeat as confirmation of any report that is as new as the last one to all.
/// It must get none while it may hold a later report to some gateways that says something else.
class last_broadcast {
public:
    void on_sent_to_all(const gateway::engine_status& status, std::uint64_t sequence,
                        time_point now);

    /// A later report went to some gateways only.
    void on_sent_to_some() { is_latest_ = false; }

    /// A gateway was heard for the first time and has no report.
    void on_new_gateway() { is_latest_ = false; }

    /// Whether a heartbeat tells all gateways this status.
    bool can_confirm(const gateway::engine_status& status, time_point now) const;

    std::uint64_t sequence() const { return sequence_; }

private:
    gateway::engine_status status_;
    time_point sent_at_;
    std::uint64_t sequence_ = 0;
    /// No gateway may hold another report.
    bool is_latest_ = false;
};

} // namespace snipespar::sidecar
