#pragma once

#include "config/change.h"

#include <optional>

namespace snipespar::config {

/// Copies teams, adapters and routes from the accepted document of another environment. The target
/// keeps what is specific to its hosts: upstreams, weight store limits and keys.
class promotion {
public:
    explicit promotion(snapshot source) : source_(std::move(source)) {}

    change_result apply_to(const snapshot& base);

private:
    snapshot source_;
    std::optional<snapshot> first_base_;
};

} // namespace snipespar::config
