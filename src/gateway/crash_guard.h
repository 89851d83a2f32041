#pragma once

#include "gateway/request_prints.h"
#include "poison/suspect_digest.h"
#include "poison/suspect_table.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

namespace snipespar::gateway {

/// Recognizes requests, and parts of prompts, that crash the upstreams that run them, so that no
/// gateway sends them any more.
///
/// A request, with the shared parts of its prompt if its answer had begun, counts against an
/// upstream if its response broke off and the upstream's process ended within a few seconds of
/// that. What has been in flight at several crashes is refused. A complete response clears the
/// request and its parts of all crashes so far, so that parts which sound requests carry are not
/// refused however often they were near. A crash counts only for the suspect that explains most
/// crashes; several at the same time count once for a part that this gateway has seen sound, as a
/// loss of power ends all engines at once. Gateways share their findings.
class crash_guard {
public:
    crash_guard();

    /// Whether the request must not be sent to any upstream.
    bool is_refused(const request_prints& prints, time_point now) const;

    /// Whether a refused request may be sent all the same, to learn more: it carries some of the
    /// suspects that were in flight at the same crashes and not the others, or parts that were
    /// sound before, or all crashes under it may have had one common cause. Allowed once in a
    /// while, and by about one of the `gateways`; `draw` is uniform from 0 to 1.
    bool begin_trial(const request_prints& prints, int gateways, double draw, time_point now);

    /// Time for which the request will be refused, or until it may be sent to learn more.
    duration refusal_time(const request_prints& prints, time_point now) const;

    /// The connection on which the request ran broke. `process_start_ms` is that of the upstream's
    /// entry; an upstream that has restarted under its name may still be listed with the former
    /// one.
    void on_broken(const request_prints& prints, const upstream_id& upstream,
                   std::uint64_t process_start_ms, time_point sent_at, time_point now);

    /// The request was given up while it ran. It may run on there and crash the upstream unseen.
    void on_abandoned(const request_prints& prints, const upstream_id& upstream,
                      std::uint64_t process_start_ms, time_point sent_at, time_point now);

    /// A request with these parts has received a complete response.
    void on_sound(const std::vector<poison::fingerprint>& parts, time_point now);

    /// The request has received a complete response: clears it and its parts.
    void on_completed(const request_prints& prints, time_point now);

    /// The process of this upstream has ended for certain. Returns whether requests were in flight
    /// there.
    bool on_upstream_ended(const upstream_id& upstream, time_point now);

    /// The upstream does not accept connections or is no longer listed. Returns whether connections
    /// to it broke lately; without that, it may be cut off or have left in an orderly way.
    bool on_upstream_unreachable(const upstream_id& upstream, time_point now);

    /// Whether requests were given up there lately, which count only if the process has ended.
    bool has_abandoned_runs(const upstream_id& upstream) const;

    /// Takes over the findings of another gateway.
    void merge(const poison::suspect_digest& digest, time_point now);

    /// Findings to send to all gateways now; each is returned several times, as messages may be
    /// lost.
    poison::suspect_digest next_announcement(time_point now);

    /// Those among them that cannot wait for the next tick: suspects of several crashes.
    poison::suspect_digest urgent_announcement(time_point now);

    /// What is refused, for a gateway that has just started or has missed messages.
    poison::suspect_digest refused_findings(time_point now) const;

    /// Drops expired findings.
    void on_tick(time_point now);

    /// Whether there is anything to check requests against.
    bool is_empty() const { return broken_.empty() && suspects_.size() == 0; }

private:
    /// The end of a request without a response.
    struct broken_run {
        time_point at;
        bool is_abandoned = false;
    };
    /// Requests that ended so at one process of an upstream.
    struct broken_runs {
        std::uint64_t process = 0;
        std::map<poison::fingerprint, broken_run> prints;
    };
    /// The latest process of an upstream that is known to have ended.
    struct ended_process {
        std::uint64_t process = 0;
        time_point known_since;
    };

    void note_broken(const request_prints& prints, const upstream_id& upstream,
                     std::uint64_t process, broken_run run);
    std::uint64_t process_of(const upstream_id& upstream, std::uint64_t process_start_ms,
                             time_point sent_at) const;
    void note_end(const poison::crash_id& id, time_point now);
    bool note_crash(const upstream_id& upstream, bool is_proved, time_point now);

    bool is_print_refused(poison::fingerprint print, time_point now) const;
    std::vector<poison::fingerprint> refused_among(const request_prints& prints,
                                                   time_point now) const;
    bool was_sound(poison::fingerprint part) const;
    bool may_have_common_cause(poison::fingerprint request, time_point now) const;
    void clear(poison::fingerprint print, time_point now);
    poison::suspect_digest announce(bool is_urgent, time_point now);

    std::map<upstream_id, broken_runs> broken_;
    std::map<upstream_id, ended_process> ended_;
    poison::suspect_table suspects_;
    /// Announcements still to be made, by fingerprint.
    std::map<poison::fingerprint, int> pending_;
    /// Fingerprints that other gateways know as suspects.
    std::set<poison::fingerprint> shared_;
    /// When a trial was last decided on: of suspects that came together, of requests whose crashes
    /// did, and of parts once sound.
    std::optional<time_point> comparison_at_;
    std::optional<time_point> second_chance_at_;
    std::optional<time_point> retrial_at_;
    /// Parts of complete responses, lately and in the period before.
    std::unordered_set<poison::fingerprint> sound_;
    std::unordered_set<poison::fingerprint> sound_before_;
    time_point sound_since_;
};

} // namespace snipespar::gateway
