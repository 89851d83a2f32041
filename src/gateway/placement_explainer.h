#pragma once

#include "gateway/placement_explanation.h"
#include "snipespar/time.h"

namespace snipespar::gateway {

struct placement_query;
struct service_rule;
class upstream_selector;
class upstream_table;

/// Explains the next choice of a selector, which it leaves as it is: the decision is that of a
/// copy, with the same draw.
///
/// It costs a copy of what the selector has learned and two choices, and is meant for single
/// questions of operators.
class placement_explainer {
public:
    /// `gateways`: number of gateways that share the upstreams.
    placement_explainer(const upstream_selector& selector, const upstream_table& table,
                        int gateways)
        : selector_(selector), table_(table), gateways_(gateways)
    {
    }

    placement_explanation explain(const placement_query& query, const service_rule& service,
                                  time_point now) const;

private:
    const upstream_selector& selector_;
    const upstream_table& table_;
    int gateways_;
};

} // namespace snipespar::gateway
