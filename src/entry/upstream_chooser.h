#pragma once

#include "link/frame/upstream_report.h"
#include "route/demand_meter.h"
#include "route/ranking.h"
#include "route/upstream_view.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipespar::config {
struct snapshot;
}

namespace snipespar::entry {

/// Properties of a request that the choice of upstream depends on.
struct upstream_need {
    /// Empty for a plain service.
    adapter_ref adapter;
    /// Base model, or name of the plain service.
    std::string serves;
    std::uint64_t prefix_hash = 0;
    /// Tokens that the request may take.
    std::uint64_t tokens = 0;
    /// The software version that began the stream; empty if any upstream can run the request.
    std::string software = {};

    friend bool operator==(const upstream_need&, const upstream_need&) = default;
};

/// How an attempt ended, as evidence of the upstream's health.
enum class attempt_outcome {
    succeeded,
    failed,
    /// A refusal or a cancellation; no evidence about the upstream.
    inconclusive,
};

/// Chooses upstreams for the entry from their known state and the ranking. A decision object of the
/// control thread.
class upstream_chooser {
public:
    upstream_chooser(failure_domain_id own_domain, std::uint64_t seed);

    void set_config(const config::snapshot& config);
    void on_link_up(const upstream_id& id, const incarnation& agent);
    void on_link_lost(const upstream_id& id);
    void on_report(const upstream_id& id, const link::upstream_report& report, time_point now);

    /// Sets the hosts that the platform's list marks as leaving.
    void on_leaving_hosts(const std::vector<host_id>& leaving);
    void on_attempt_ended(const upstream_id& id, attempt_outcome outcome, duration took,
                          time_point now);

    /// Chooses an upstream that has not been tried, and counts the attempt as sent to it.
    route::upstream_choice choose(const upstream_need& need, const std::vector<upstream_id>& tried,
                                  time_point now);

    const route::upstream_view& view() const { return view_; }

private:
    route::upstream_view view_;
    route::ranking ranking_;
    route::demand_meter demand_;
};

} // namespace snipespar::entry
