#pragma once

#include "config/upstream.h"
#include "route/load_report.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace snipespar::route {

/// Whether an upstream may receive a new request.
enum class availability {
    available,
    /// Its ejection expired, and its single trial request is in flight.
    on_trial,
    /// Excluded after consecutive failures.
    ejected,
    /// No link to its agent.
    unlinked,
    /// Leaving, as reported by its agent or the host list.
    leaving,
};

/// Parameters of outlier ejection and of the wait estimate.
struct view_limits {
    /// Consecutive failures after which an upstream is ejected.
    std::uint32_t ejection_streak = 3;
    /// Duration of the first ejection; doubles with each consecutive one.
    duration ejection_time = std::chrono::seconds(5);
    duration max_ejection_time = std::chrono::seconds(60);
    /// Fraction of a report's age that is added to the wait estimate, as a stale report is less
    /// reliable.
    double report_age_weight = 0.1;
    duration max_counted_age = std::chrono::seconds(10);
    /// Assumed service time of an upstream before its first completed attempt.
    duration initial_service_time = std::chrono::milliseconds(100);

    friend bool operator==(const view_limits&, const view_limits&) = default;
};

/// State of one upstream as seen by an entry.
struct upstream_status {
    upstream_id id;
    config::upstream_kind kind = config::upstream_kind::engine;
    std::string serves;
    host_id host;
    failure_domain_id failure_domain;
    std::uint32_t max_running = 1;
    /// Hash of the id, for rendezvous ranking.
    std::uint64_t hash = 0;
    bool linked = false;
    /// Start number of the linked agent.
    std::uint64_t agent_start = 0;
    bool announced_leaving = false;
    bool listed_leaving = false;
    load_report report;
    time_point report_at{};
    /// Sorted hashes of the resident adapters.
    std::vector<std::uint64_t> resident;
    /// Attempts of this entry in flight at the upstream.
    std::uint32_t in_flight = 0;
    /// Attempts of this entry sent since the latest report.
    std::uint32_t sent_since_report = 0;
    /// Moving average of the time per attempt.
    duration service_time{};
    std::uint32_t failure_streak = 0;
    std::uint32_t ejections = 0;
    time_point ejected_until{};

    friend bool operator==(const upstream_status&, const upstream_status&) = default;
};

/// State of all upstreams as seen by an entry. Indices stay valid until set_upstreams() is called
/// with different members, which increments membership().
class upstream_view {
public:
    explicit upstream_view(view_limits limits = {});

    /// Sets the configured upstreams; the state of those that remain is kept.
    void set_upstreams(const std::map<upstream_id, config::upstream>& upstreams);

    /// A link to the agent is up. A new start number means a new incarnation of the agent, so the
    /// previous one's leaving state, load and failures are reset.
    void on_link_up(const upstream_id& id, std::uint64_t agent_start);
    void on_link_lost(const upstream_id& id);

    /// The agent reported that its upstream takes no new requests.
    void on_leaving(const upstream_id& id);

    /// Hosts that are leaving according to the platform's host list, which lags.
    void on_host_list(const std::set<host_id>& leaving);

    /// A load report of the upstream as of `produced_at`; ignored if older than the latest one.
    void on_report(const upstream_id& id, load_report report, time_point produced_at);

    /// An attempt was sent to the upstream.
    void on_attempt_sent(const upstream_id& id);

    /// An attempt succeeded after `elapsed`.
    void on_attempt_succeeded(const upstream_id& id, duration elapsed);

    /// An attempt was lost or timed out.
    void on_attempt_failed(const upstream_id& id, time_point now);

    /// An attempt ended without evidence about the upstream's health, such as by a refusal or a
    /// cancellation.
    void on_attempt_dropped(const upstream_id& id);

    std::span<const upstream_status> upstreams() const { return upstreams_; }
    std::optional<std::size_t> index_of(const upstream_id& id) const;

    /// Increments whenever indices change.
    std::uint64_t membership() const { return membership_; }

    availability availability_of(std::size_t index, time_point now) const;

    /// Expected wait of a new request, increased with the report's age.
    duration wait_estimate(std::size_t index, time_point now) const;

    /// Whether the latest report lists the adapter as resident; `adapter_hash` is the hash of its
    /// string form.
    bool is_resident(std::size_t index, std::uint64_t adapter_hash) const;

private:
    upstream_status* find(const upstream_id& id);
    static void end_attempt(upstream_status& status);

    view_limits limits_;
    std::vector<upstream_status> upstreams_;
    std::uint64_t membership_ = 0;
};

} // namespace snipespar::route
