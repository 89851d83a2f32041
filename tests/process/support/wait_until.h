#pragma once

#include "support/http_probe.h"

#include <chrono>
#include <thread>

namespace snipespar::testing {

/// Polls `condition` until it holds. Returns whether it did within `limit`, which is only an upper
/// bound: a test's result never depends on how long the condition took.
template <class Condition>
bool wait_until(Condition condition, std::chrono::milliseconds limit = wait_limit)
{
    constexpr std::chrono::milliseconds poll_interval{5};
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace snipespar::testing
