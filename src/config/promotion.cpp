#include "config/promotion.h"

#include "config/document_change.h"
#include "config/references.h"

#include <fmt/core.h>

namespace snipespar::config {

change_result promotion::apply_to(const snapshot& base)
{
    if (base.version == 0) {
        return findings{{"--to", "the environment has no accepted document yet; its upstreams must "
                                 "be applied first"}};
    }
    if (first_base_ && !is_same_document(*first_base_, base)) {
        return superseded(base);
    }
    first_base_ = base;
    auto next = base;
    next.teams = source_.teams;
    next.adapters = source_.adapters;
    next.routes = source_.routes;
    auto problems = check_references(next);
    if (!problems.empty()) {
        return problems;
    }
    return next;
}

} // namespace snipespar::config
