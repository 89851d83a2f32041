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

/// Whether an upstream may get a new request.
enum class availability {
    available,
    /// Back from an ejection and already running its one trial request.
    on_trial,
    /// Set aside after a streak of failures.
    ejected,
    /// No link to its agent.
    unlinked,
    /// Leaving, by its own word or by the host list.
    leaving,
};

/// Limits of outlier ejection and of the wait estimate.
struct view_limits {
    /// Failures in a row that set an upstream aside.
    std::uint32_t ejection_streak = 3;
    /// Length of the first ejection; it doubles with each further one.
    duration ejection_time = std::chrono::seconds(5);
    duration max_ejection_time = std::chrono::seconds(60);
    /// Part of a report's age that counts as waiting time, as an old report says little.
    double report_age_weight = 0.1;
    duration max_counted_age = std::chrono::seconds(10);
    /// Assumed time of one request while nothing is known of an upstream.
    duration initial_service_time = std::chrono::milliseconds(100);

    friend bool operator==(const view_limits&, const view_limits&) = default;
};

/// What one entry knows of one upstream.
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
    /// Own attempts that the upstream has now.
    std::uint32_t in_flight = 0;
    /// Own attempts sent since the latest report.
    std::uint32_t sent_since_report = 0;
    /// Moving average of the time of one request.
    duration service_time{};
    std::uint32_t failure_streak = 0;
    std::uint32_t ejections = 0;
    time_point ejected_until{};

    friend bool operator==(const upstream_status&, const upstream_status&) = default;
};

/// What one entry knows of every upstream. An upstream keeps its index until set_upstreams()
/// is called with other members, which raises membership().
class upstream_view {
public:
    explicit upstream_view(view_limits limits = {});

    /// Takes the configured upstreams; what is known of those that stay is kept.
    void set_upstreams(const std::map<upstream_id, config::upstream>& upstreams);

    /// A link to the agent is up. An agent with a new start number is a replacement, so its
    /// predecessor's leave, load and failures no longer count.
    void on_link_up(const upstream_id& id, std::uint64_t agent_start);
    void on_link_lost(const upstream_id& id);

    /// The agent said that its upstream takes no new work.
    void on_leaving(const upstream_id& id);

    /// The platform's list of hosts, which lags, names these as leaving.
    void on_host_list(const std::set<host_id>& leaving);

    /// A load report that describes the upstream at `produced_at`; older ones than the one known
    /// are ignored.
    void on_report(const upstream_id& id, load_report report, time_point produced_at);

    /// An attempt was handed to the upstream.
    void on_attempt_sent(const upstream_id& id);

    /// An attempt ended well after `took`.
    void on_attempt_succeeded(const upstream_id& id, duration took);

    /// An attempt was lost or went silent.
    void on_attempt_failed(const upstream_id& id, time_point now);

    /// An attempt ended in a way that says nothing about the upstream, such as a refusal or a
    /// cancellation.
    void on_attempt_dropped(const upstream_id& id);

    std::span<const upstream_status> upstreams() const { return upstreams_; }
    std::optional<std::size_t> index_of(const upstream_id& id) const;

    /// Rises whenever indices change.
    std::uint64_t membership() const { return membership_; }

    availability availability_of(std::size_t index, time_point now) const;

    /// How long a new request would wait there, made longer by the report's age.
    duration wait_estimate(std::size_t index, time_point now) const;

    /// Whether the latest report shows the adapter; `adapter_hash` is that of its written form.
    bool is_resident(std::size_t index, std::uint64_t adapter_hash) const;

private:
    upstream_status* find(const upstream_id& id);
    static void end_attempt(upstream_status& status);

    view_limits limits_;
    std::vector<upstream_status> upstreams_;
    std::uint64_t membership_ = 0;
};

} // namespace snipespar::route
