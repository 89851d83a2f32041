#include "config/document_change.h"

#include "config/references.h"

#include <fmt/core.h>

namespace snipespar::config {

namespace {

// The part of a snapshot that the document gives.
snapshot without_keys(snapshot config)
{
    config.version = 0;
    config.keys.clear();
    return config;
}

} // namespace

bool is_same_document(const snapshot& left, const snapshot& right)
{
    return without_keys(left) == without_keys(right);
}

findings superseded(const snapshot& base)
{
    return {{fmt::format("{}@{}", base.environment, base.version),
             "another document was accepted in the meantime; review it and try again"}};
}

change_result document_change::apply_to(const snapshot& base)
{
    if (first_base_ && !is_same_document(*first_base_, base)) {
        return superseded(base);
    }
    first_base_ = base;
    if (base.version != 0 && base.environment != content_.environment) {
        return findings{{"environment", "the document belongs to another environment"}};
    }
    auto next = content_;
    next.keys = base.keys;
    auto problems = check_references(next);
    if (!problems.empty()) {
        return problems;
    }
    return next;
}

} // namespace snipespar::config
