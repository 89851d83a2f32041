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
    /// When a refused request may be sent again.
    duration retry_after{};

    friend bool operator==(const run_verdict&, const run_verdict&) = default;
};

/// What an agent, which outlives its upstream, knows of requests that crash it.
///
/// An upstream that died with a request in flight does not run that request again until it ran
/// clean elsewhere, or no other upstream may run it. As a request is placed on two upstreams, it
/// crashes at most two, even if nothing that agents and entries tell each other arrives.
class suspect_record {
public:
    /// `start` numbers this life of the agent; it is never used twice for one upstream.
    suspect_record(upstream_id self, std::uint64_t start, suspect_limits limits = {});

    /// May the upstream run it? `sole` tells that no other upstream may.
    run_verdict verdict(fingerprint print, bool sole, time_point now) const;

    /// The upstream died with these in flight. Returns what to tell all linked entries.
    suspect_digest on_death(std::span<const fingerprint> in_flight, time_point now);

    /// A request ran alone to its end. Returns what to tell all linked entries.
    suspect_digest on_clean_run_alone(fingerprint print, time_point now);

    /// Takes what an entry told; returns the fingerprints of which more is known now.
    std::vector<fingerprint> merge(const suspect_digest& digest, time_point now);

    void on_tick(time_point now) { table_.on_tick(now); }
    const suspect_table& table() const { return table_; }

private:
    upstream_id self_;
    std::uint64_t start_;
    std::uint64_t deaths_ = 0;
    suspect_table table_;
};

} // namespace snipespar::poison
