#pragma once

#include "poison/suspect_digest.h"
#include "poison/suspect_table.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace snipespar::gateway {

/// Recognizes requests that crash the upstreams that run them, so that no gateway sends them any
/// more.
///
/// A request counts against an upstream if its response broke off and the upstream's process ended
/// within a few seconds of that. One that has done so at several upstreams is refused; a complete
/// response clears it. Gateways share their findings.
class crash_guard {
public:
    crash_guard();

    /// Whether the request must not be sent to any upstream.
    bool is_refused(poison::fingerprint print, time_point now) const;

    /// Time for which the request will be refused.
    duration refusal_time(poison::fingerprint print, time_point now) const;

    /// The connection on which the request ran broke.
    void on_broken(poison::fingerprint print, const upstream_id& upstream,
                   std::uint64_t process_start_ms, time_point now);

    /// The request has received a complete response.
    void on_completed(poison::fingerprint print, time_point now);

    /// The process of this upstream has ended, or does not accept connections. Returns whether
    /// requests were in flight there.
    bool on_upstream_ended(const upstream_id& upstream, time_point now);

    /// Takes over the findings of another gateway.
    void merge(const poison::suspect_digest& digest, time_point now);

    /// Findings to send to all gateways; each is returned several times, as messages may be lost.
    poison::suspect_digest next_announcement();

    /// Drops expired findings.
    void on_tick(time_point now);

    /// Whether there is anything to check requests against.
    bool is_empty() const { return broken_.empty() && suspects_.size() == 0; }

private:
    /// Requests whose connection to one upstream broke.
    struct broken_connections {
        std::uint64_t process_start_ms = 0;
        std::map<poison::fingerprint, time_point> prints;
    };
    struct announcement {
        poison::suspect_digest digest;
        int repeats = 0;
    };

    std::map<upstream_id, broken_connections> broken_;
    poison::suspect_table suspects_;
    std::optional<announcement> announcement_;
};

} // namespace snipespar::gateway
