#pragma once

#include "snipespar/time.h"

#include <cstdint>

namespace snipespar::agent {

/// Moving average of an upstream's token throughput.
class service_rate {
public:
    /// `token_time` is the assumed time per token of one request until requests have completed;
    /// `max_running` requests run concurrently.
    service_rate(duration token_time, std::uint32_t max_running);

    /// A request completed after `elapsed` with this many tokens, prompt included.
    void on_request_done(std::uint64_t tokens, duration elapsed);

    /// Time in which the upstream processes that many tokens at full concurrency.
    duration time_of(double tokens) const;

private:
    double us_per_token_;
    std::uint32_t max_running_;
};

} // namespace snipespar::agent
