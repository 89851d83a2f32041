#pragma once

#include "gateway/upstream_state.h"
#include "resume/software_history.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipespar::control {
struct sidecar_heartbeat;
}

namespace snipespar::gateway {

struct service_rule;

/// How a call at an upstream ended, as far as the upstream's health is concerned.
enum class call_result {
    success,
    /// It responded with an error, broke off, or could not be reached.
    failure,
    /// It refused the call because it is full; does not affect its health.
    refused,
};

/// All upstreams known to this gateway, their health and their load.
class upstream_table {
public:
    /// Statuses kept by engine address. Several times the engines of the largest fleet that is
    /// tested.
    static constexpr std::size_t max_kept_statuses = 1024;
    /// How long a status is kept without a later one: three of the intervals at which sidecars send
    /// whole reports, with a margin.
    static constexpr duration kept_status_lifetime = std::chrono::seconds(6);

    /// Adds an upstream or takes over its changed entry.
    void update(const upstream_entry& entry, time_point now);

    /// Removes an entry. It stays usable for a short grace period, a longer one just after a
    /// registry outage, since entries that expired during it come back.
    void remove(const upstream_id& id, time_point now);

    /// Replaces all entries; those not listed are removed.
    void replace(const std::vector<upstream_entry>& entries, time_point now);

    /// The registry is reachable again after an outage.
    void on_registry_recovered(time_point now);

    /// The registry is out of reach: changes are missed from now on.
    void on_registry_lost() { versions_.on_registry_lost(); }

    /// All changes of the registry made before `asked_at` are known.
    void on_registry_read(time_point asked_at) { versions_.on_registry_read(asked_at); }

    /// Whether all changes of the registry made before this time are known.
    bool is_registry_read_since(time_point when) const { return versions_.is_read_since(when); }

    /// This process was not run for a while.
    void on_standstill(time_point now);

    /// The upstreams of these failure domains get no new work from now on, all others may. Those
    /// of a domain that is taken back may be cold.
    void set_evacuated(std::set<failure_domain_id> domains, time_point now);
    const std::set<failure_domain_id>& evacuated() const { return evacuated_; }

    /// The registry was restored from an old copy. Entries that it lost are about to be written
    /// again, and entries of upstreams that had gone may have come back.
    void on_registry_restored(time_point now);

    /// Returns the upstreams that have this engine's address.
    std::vector<upstream_id> on_engine_status(const engine_status& status, time_point now);

    /// Confirms the status last reported by the sidecar, unless a later report was missed.
    void on_heartbeat(const control::sidecar_heartbeat& heartbeat, time_point now);

    /// A response of the upstream announced that it is about to stop.
    void on_leaving(const upstream_id& id, time_point now);
    /// Another gateway has received such a response from this incarnation of the upstream.
    void on_peer_saw_leaving(const upstream_id& id, std::uint64_t process_start_ms);
    /// Incarnations that announced their stop to this gateway lately: process start by upstream.
    std::map<std::string, std::uint64_t> recently_leaving(time_point now) const;

    /// The upstream takes no calls for this long: it is overloaded, or its rate is used up.
    void on_overloaded(const upstream_id& id, duration retry_after, time_point now);

    /// The sidecar of a cold engine grants no permits for this long. Calls that already wait there
    /// go on waiting.
    void on_permit_refused(const upstream_id& id, duration wait, time_point now);

    /// A response to a call sent at `sent_at` named a request rate, or none. Returns whether that
    /// is new.
    bool on_rate_named(const upstream_id& id, std::optional<double> rate_per_s, time_point sent_at,
                       time_point now);

    /// A response of the upstream has stated its load.
    void on_load_stated(const upstream_id& id, const stated_load& load, time_point now);

    void on_call_sent(const upstream_id& id, std::string_view adapter, std::uint64_t tokens);
    /// The upstream has begun its response to a call.
    void on_response_started(const upstream_id& id, std::uint64_t tokens, time_point now);
    /// Another part of a response has arrived.
    void on_progress(const upstream_id& id, time_point now);
    /// `outstanding_tokens`: prompt tokens of a call that ended before its response began. Returns
    /// whether the sidecar should be notified immediately that the adapter is no longer used there.
    bool on_call_ended(const upstream_id& id, std::string_view adapter,
                       std::uint64_t outstanding_tokens, call_result result, time_point now);
    /// A stream of the upstream has paused. Returns whether to report it, which is so once in each
    /// interval.
    bool on_pause(const upstream_id& id, duration interval, time_point now);
    /// An adapter recorded as resident on the upstream was missing there.
    void on_adapter_missing(const upstream_id& id, std::string_view adapter);
    /// A call begins to wait for the adapter, and can begin in time until `timely_until`.
    void on_adapter_wait(const upstream_id& id, std::string_view adapter, time_point timely_until);
    void on_adapter_wait_ended(const upstream_id& id, std::string_view adapter);
    /// The sidecar of the engine has been told which adapters this gateway uses there.
    void on_uses_stated(const upstream_id& id);

    /// Requests a replica of the adapter on the upstream; returns whether this was not requested
    /// already.
    bool on_replica_requested(const upstream_id& id, std::string_view adapter, time_point now);

    /// Drops removed upstreams that have no calls in flight.
    void on_tick(time_point now);

    /// Incremented when an upstream is added or dropped, or changes its address or process.
    std::uint64_t membership() const { return membership_; }

    const upstream_state* find(const upstream_id& id) const;
    const std::map<upstream_id, upstream_state>& all() const { return states_; }

    /// Number of statuses kept by engine address.
    std::size_t kept_statuses() const { return last_statuses_.size(); }

    /// Whether the upstream accepts new calls.
    static bool is_open(const upstream_state& state, time_point now);

    /// Whether the upstream is listed and not about to stop. It may be closed for a while.
    static bool is_serving(const upstream_state& state, time_point now);

    /// Whether the upstream is cold, or may be so far as this gateway knows.
    static bool is_cold(const upstream_state& state, const service_rule& service, time_point now);

    /// Requests per second that the upstream takes from all gateways together, if it is limited.
    static std::optional<double> request_rate(const upstream_state& state,
                                              const service_rule& service, time_point now);

    /// Software version of the process that runs there; empty if it is unknown, as the entry
    /// describes an earlier one.
    static std::string software_of(const upstream_state& state);

    /// Whether the sidecar of an engine has been heard, so that another process than that of the
    /// entry would be known. Entries that state no process cannot be confirmed.
    static bool is_process_confirmed(const upstream_state& state)
    {
        return state.status.has_value() || state.entry.process_start_ms == 0;
    }

    /// Whether an upstream of this version of the service serves. The result is kept for a moment,
    /// as every stream that waits asks.
    bool has_version(const std::string& service, const std::string& software, time_point now);

    /// The only software version of the service that can have begun a stream which callers still
    /// wait for, if it is known. Holds for streams that ended before the registry was last read
    /// (`is_registry_read_since`).
    std::optional<std::string> sole_version(const std::string& service, time_point now) const;

    /// Whether its sidecar, as far as is known, reads how many calls have begun. A sidecar that has
    /// not been heard lately may be of an earlier build by now, which rejects a message with them.
    static bool counts_calls(const upstream_state& state, time_point now);

    /// Whether the upstream can load an adapter of the model soon.
    static bool can_load(const upstream_state& state, const std::string& model, time_point now);

    /// Whether neither the upstream nor its sidecar has sent anything for a while: its host may be
    /// frozen or disconnected.
    static bool is_unresponsive(const upstream_state& state, time_point now);

private:
    /// An incarnation that is no longer listed.
    struct former_incarnation {
        std::uint64_t process_start_ms = 0;
        bool was_leaving = false;
        time_point expires;
    };

    struct kept_status {
        engine_status status;
        time_point received_at;
        /// The engine had an entry at that time.
        bool is_listed = false;
    };

    void keep_status(const engine_status& status, bool is_listed, time_point now);

    std::map<upstream_id, upstream_state> states_;
    std::uint64_t membership_ = 0;
    /// Whether a version of a service serves, and until when that result is kept.
    std::map<std::pair<std::string, std::string>, std::pair<bool, time_point>> serving_versions_;
    resume::software_history versions_;
    std::map<upstream_id, former_incarnation> former_;
    std::set<failure_domain_id> evacuated_;
    /// Until then an entry that reappears does not prove that its upstream runs.
    time_point restored_until_;
    /// Last status by engine address, kept for engines whose entry is not known yet.
    std::map<std::string, kept_status> last_statuses_;
    std::optional<time_point> registry_recovered_at_;
};

} // namespace snipespar::gateway
