#pragma once

#include "gateway/decaying_mean.h"
#include "gateway/finish_forecast.h"
#include "gateway/stated_load.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace snipespar::gateway {

struct placed_call;
struct upstream_state;

/// Learns from answers what the calls of each route cost and how fast each upstream works, and
/// forecasts from that and from the load that upstreams state when a call would finish where.
///
/// Load pattern: many gateways share a few small upstreams. Each of them sees a small part of the
/// calls, so that a stated load is older than a call takes.
class finish_forecaster {
public:
    void on_sent(const placed_call& call);

    /// The upstream has answered the call with a success of its own that states its load. Returns
    /// by how many seconds the call took longer than forecast, unless nothing had been learned.
    std::optional<double> on_answered(const placed_call& call, const stated_load& load,
                                      time_point now);

    /// The call ended without a success. `is_unanswered`: its response has not begun.
    void on_given_up(const placed_call& call, bool is_unanswered, time_point now);

    /// An upstream has turned a call away as it is full, and stated its load.
    void on_shed(const placed_call& call, const stated_load& load, time_point now);

    /// The forecast for a call of the route that is sent now.
    finish_forecast forecast(const upstream_state& upstream, const std::string& route, int gateways,
                             time_point now) const;

    /// Mean error of the forecasts for a service, in seconds and without sign.
    double error_s(const std::string& service, time_point now) const;

    /// Backlog at which an upstream of the service lately turned calls away; nothing if none did.
    std::optional<double> full_at(const std::string& service, time_point now) const;

    /// Drops upstreams and routes that are not used any more.
    void on_tick(time_point now);

private:
    /// What is known of one service.
    struct service_knowledge {
        decaying_mean work;
        decaying_mean error;
        std::map<std::string, decaying_mean> work_by_route;
        double full_at = 0;
        time_point full_seen_at;
        time_point used_at;
    };

    /// What is known of one upstream.
    struct upstream_knowledge {
        /// Time that its calls take relative to what the service's calls take elsewhere.
        decaying_mean pace;
        /// Stated slowdown and backlog.
        decaying_mean slowdown;
        decaying_mean backlog;
        /// When the calls in flight were sent.
        std::multiset<time_point> sent;
        time_point used_at;
    };

    service_knowledge& service_of(const std::string& name, time_point now);
    upstream_knowledge& upstream_of(const upstream_id& id, time_point now);
    void forget_sent(const placed_call& call, time_point now);
    void learn(const placed_call& call, double slowdown, time_point now);
    double expected_work_s(const std::string& service, const std::string& route,
                           time_point now) const;

    std::map<std::string, service_knowledge> services_;
    std::map<upstream_id, upstream_knowledge> upstreams_;
};

} // namespace snipespar::gateway
