#pragma once

#include "gateway/finish_forecast.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <string>

namespace snipespar::gateway {

/// A call that was sent to an upstream, with what was expected of it.
struct placed_call {
    upstream_id upstream;
    std::string service;
    std::string route;
    finish_forecast forecast;
    time_point sent_at;

    friend bool operator==(const placed_call&, const placed_call&) = default;
};

} // namespace snipespar::gateway
