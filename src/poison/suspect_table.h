#pragma once

#include "poison/suspect_digest.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace snipespar::poison {

/// Whether a request may run, as far as crashed upstreams are concerned.
enum class suspicion {
    none,
    /// One unexplained death: runs alone, on an upstream that it has not crashed.
    suspect,
    /// Two deaths: does not run anywhere.
    refused,
};

/// Limits of a suspect table.
struct suspect_limits {
    /// Time for which a death counts.
    duration lifetime = std::chrono::hours(1);
    /// Fingerprints remembered; those with the least evidence go first.
    std::size_t max_fingerprints = 4096;

    friend bool operator==(const suspect_limits&, const suspect_limits&) = default;
};

/// Which requests were in flight when upstreams died, in the whole fleet as far as is known here.
///
/// Tables of several processes converge: merging is commutative, associative and idempotent, so
/// digests may be lost, doubled and late. A death that a request met alone is explained by that
/// request, and every other request in flight at one of the same deaths is no longer blamed for
/// it.
class suspect_table {
public:
    explicit suspect_table(suspect_limits limits = {});

    /// An upstream died with these requests in flight. Returns what to tell the other processes.
    suspect_digest on_death(const death_id& id, std::span<const fingerprint> in_flight,
                            time_point now);

    /// A request ran alone to its end. Returns what to tell the other processes.
    suspect_digest on_clean_run_alone(fingerprint print, time_point now);

    /// Takes what another process told. Returns the fingerprints of which more is known now.
    std::vector<fingerprint> merge(const suspect_digest& digest, time_point now);

    suspicion of(fingerprint print, time_point now) const;

    /// Whether an unexplained death of the fingerprint was at that upstream.
    bool died_at(fingerprint print, const upstream_id& upstream, time_point now) const;

    /// Time until the fingerprint is no longer refused or suspected; zero if it is neither.
    duration remaining(fingerprint print, time_point now) const;

    /// Everything known, for a process that has just been linked.
    suspect_digest digest(time_point now) const;

    /// Forgets what has expired.
    void on_tick(time_point now);

    std::size_t size() const { return suspects_.size(); }

private:
    struct death {
        bool alone = false;
        bool cleared = false;
        time_point expires;

        friend bool operator==(const death&, const death&) = default;
    };
    using death_map = std::map<death_id, death>;

    std::vector<death_id> unexplained(fingerprint print, time_point now) const;
    bool is_explained(const death_id& id, fingerprint print, time_point now) const;
    static bool is_culprit(const death_map& deaths, time_point now);
    suspect_report report(fingerprint print, const death_map& deaths, time_point now) const;
    void make_room();

    suspect_limits limits_;
    std::map<fingerprint, death_map> suspects_;
    /// Fingerprints known to have been in flight at each death.
    std::map<death_id, std::set<fingerprint>> in_flight_;
};

} // namespace snipespar::poison
