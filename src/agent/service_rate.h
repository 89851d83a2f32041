#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::agent {

/// Moving estimate of how fast an upstream works through tokens.
class service_rate {
public:
    /// `token_time` is assumed for one token of one request until requests have ended;
    /// `max_running` requests run side by side.
    service_rate(duration token_time, std::uint32_t max_running);

    /// A request ended after `took`, with this many tokens, prompt included.
    void on_request_done(std::uint64_t tokens, duration took);

    /// Time in which the whole upstream works through that many tokens.
    duration time_of(double tokens) const;

private:
    double us_per_token_;
    std::uint32_t max_running_;
};

} // namespace snipespar::agent
