#pragma once

#include "poison/suspect_table.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace snipespar::poison {

/// Whether and how an agent may run a request.
struct run_verdict {
    enum class kind { run, run_alone, refuse };
    kind how = kind::run;
    /// Delay after which a refused request may be retried.
    duration retry_after{};

    friend bool operator==(const run_verdict&, const run_verdict&) = default;
};

/// An agent's record of requests that crash its upstream; the agent outlives such crashes.
///
/// An upstream that crashed with a request in flight does not run that request again until it has
/// run alone elsewhere without a crash, unless no other upstream may run it. As a request is placed
/// on two upstreams, it crashes at most two, even if all messages between agents and entries are
/// lost.
class suspect_record {
public:
    /// `start` is the start number of the agent's incarnation; never reused for one upstream.
    suspect_record(upstream_id self, std::uint64_t start, suspect_limits limits = {});

    /// Whether the upstream may run the request. `only_candidate` means that no other upstream may.
    run_verdict verdict(fingerprint print, bool only_candidate, time_point now) const;

    /// The upstream crashed with these in flight. Returns the digest to send to all linked entries.
    suspect_digest on_crash(std::span<const fingerprint> in_flight, time_point now);

    /// A request ran alone and completed. Returns the digest to send to all linked entries.
    suspect_digest on_clean_run_alone(fingerprint print, time_point now);

    /// Merges a digest from an entry; returns the fingerprints with new evidence.
    std::vector<fingerprint> merge(const suspect_digest& digest, time_point now);

    void on_tick(time_point now) { table_.on_tick(now); }
    const suspect_table& table() const { return table_; }

private:
    upstream_id self_;
    std::uint64_t start_;
    std::uint64_t crash_count_ = 0;
    suspect_table table_;
};

} // namespace snipespar::poison
