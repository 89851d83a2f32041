#pragma once

#include "cli/endpoint.h"
#include "gateway/crash_guard.h"
#include "poison/suspect_digest.h"
#include "snipespar/time.h"

#include <cstdint>
#include <map>

namespace snipespar::sidecar {

/// Keeps what gateways have found to crash upstreams, and tells it to gateways that have just
/// started: all gateways may be killed at one moment, and would otherwise let the same request
/// crash upstreams anew.
class finding_keeper {
public:
    /// A gateway states findings.
    void keep(const poison::suspect_digest& findings, time_point now);

    /// A message has arrived from a process of a gateway. Returns what to tell it now: all that is
    /// refused, with its first few messages, as any message may be lost.
    poison::suspect_digest on_message(const cli::endpoint& gateway, std::uint64_t start,
                                      time_point now);

    /// Drops expired findings, and forgets gateways that were silent for a while.
    void on_tick(time_point now);

private:
    struct known_gateway {
        std::uint64_t start = 0;
        int messages_left = 0;
        time_point seen_at;
    };

    gateway::crash_guard findings_;
    std::map<cli::endpoint, known_gateway> gateways_;
};

} // namespace snipespar::sidecar
