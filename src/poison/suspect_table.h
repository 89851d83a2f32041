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

/// Whether a request may run, judged by the crashes during which it was in flight.
enum class suspicion {
    none,
    /// One crash attributed to it: runs alone, on an upstream that it has not crashed.
    suspect,
    /// Too many crashes attributed to it: does not run anywhere.
    refused,
};

/// Limits of a suspect table.
struct suspect_limits {
    /// Time after which a crash expires.
    duration lifetime = std::chrono::hours(1);
    /// Maximum number of fingerprints; those with the least evidence are evicted first.
    std::size_t max_fingerprints = 4096;
    /// Crashes attributed to a request from which on it is refused.
    std::size_t crashes_to_refuse = 2;
    /// Whether requests and prompt parts are kept together. Crashes are then attributed to the
    /// fingerprint that explains most of them, and no longer to others in flight there; a request
    /// precedes a part that explains as many.
    bool has_parts = false;
    /// Crashes attributed to a prompt part from which on it is refused.
    std::size_t crashes_to_refuse_part = 4;

    friend bool operator==(const suspect_limits&, const suspect_limits&) = default;
};

/// Requests in flight at crashes of upstreams in the whole fleet, as far as known to this process.
///
/// Tables of several processes converge: merging is commutative, associative and idempotent, so
/// digests may be lost, duplicated or delayed. Crashes of a request that has crashed an
/// upstream while running alone are attributed to it, and no longer to other requests in flight.
class suspect_table {
public:
    explicit suspect_table(suspect_limits limits = {});

    /// An upstream crashed with these requests in flight. `is_complete`: no other request was in
    /// flight there. Returns the digest for other processes.
    suspect_digest on_crash(const crash_id& id, std::span<const fingerprint> in_flight,
                            time_point now, bool is_complete = true);

    /// A request ran alone and completed. Returns the digest for other processes.
    suspect_digest on_clean_run_alone(fingerprint print, time_point now);

    /// Merges a digest of another process. Returns the fingerprints with new evidence.
    std::vector<fingerprint> merge(const suspect_digest& digest, time_point now);

    suspicion suspicion_of(fingerprint print, time_point now) const;

    /// Whether a crash of that upstream is attributed to the fingerprint.
    bool crashed_at(fingerprint print, const upstream_id& upstream, time_point now) const;

    /// Time until the fingerprint is no longer refused or suspected; zero if it is neither.
    duration remaining(fingerprint print, time_point now) const;

    /// Crashes of the fingerprint that have not expired and were not cleared, whatever explains
    /// them.
    std::size_t open_crashes(fingerprint print, time_point now) const;

    /// Number of open crashes that are at least `gap` apart: engines that end together may have
    /// another cause in common.
    std::size_t open_crashes_apart(fingerprint print, duration gap, time_point now) const;

    /// Time since the last open crash of the fingerprint, and between its first and last one; zero
    /// without any.
    duration since_last_crash(fingerprint print, time_point now) const;
    duration crash_span(fingerprint print, time_point now) const;

    /// Other fingerprints with as many open crashes that were in flight at one of these.
    std::set<fingerprint> rivals(fingerprint print, time_point now) const;

    bool contains(fingerprint print) const { return suspects_.contains(print); }

    /// Fingerprints that are refused.
    std::vector<fingerprint> refused(time_point now) const;

    /// The crashes of one fingerprint, for other processes.
    suspect_report report(fingerprint print, time_point now) const;

    /// Returns the whole table, for a newly linked process.
    suspect_digest digest(time_point now) const;

    /// Erases expired crashes.
    void on_tick(time_point now);

    std::size_t size() const { return suspects_.size(); }

private:
    struct crash {
        bool alone = false;
        bool cleared = false;
        time_point expires;

        friend bool operator==(const crash&, const crash&) = default;
    };
    using crash_map = std::map<crash_id, crash>;

    std::vector<time_point> open_expiries(fingerprint print, time_point now) const;

    std::vector<crash_id> attributable_crashes(fingerprint print, time_point now) const;
    bool has_other_cause(const crash_id& id, fingerprint print, time_point now) const;
    bool has_stronger_suspect(const crash_id& id, fingerprint print, std::size_t open,
                              time_point now) const;
    std::size_t threshold(fingerprint print) const;
    static bool is_confirmed_cause(const crash_map& crashes, time_point now);
    suspect_report make_report(fingerprint print, const crash_map& crashes, time_point now) const;
    void make_room(fingerprint print, crash_map& crashes);
    void evict_weakest();

    suspect_limits limits_;
    std::map<fingerprint, crash_map> suspects_;
    /// Fingerprints known to have been in flight at each crash.
    std::map<crash_id, std::set<fingerprint>> in_flight_;
};

} // namespace snipespar::poison
