#pragma once

#include "gateway/explain_query.h"
#include "snipespar/time.h"
#include "telemetry/admin_handlers.h"

#include <string>
#include <string_view>
#include <utility>

namespace snipespar::gateway {

class adapter_popularity;
class fleet_config;
class upstream_selector;
class upstream_table;
class version_table;

/// Answers operators' questions where a request would go now and why. Changes nothing: what it
/// looks at is constant.
///
/// It looks at the route, the team's name and the placement. Limits of teams, what was found of
/// requests that crash upstreams, and the memory of the gateway are left out.
class call_explainer {
public:
    /// What is known when a question arrives. The objects outlive the answer.
    struct view {
        /// Null until a configuration has been received.
        const fleet_config* config = nullptr;
        const upstream_table& upstreams;
        const upstream_selector& selector;
        const adapter_popularity& popularity;
        const version_table& versions;
        /// Gateways that share the upstreams.
        int gateways = 1;
        bool is_stopping = false;
    };

    /// `host`: name of this gateway's host.
    call_explainer(std::string host, const view& known) : host_(std::move(host)), known_(known) {}

    /// Answers a query as `explain_query` writes it.
    telemetry::query_answer answer(std::string_view query, time_point now) const;

private:
    telemetry::query_answer answer(const explain_query& query, time_point now) const;

    std::string host_;
    view known_;
};

} // namespace snipespar::gateway
