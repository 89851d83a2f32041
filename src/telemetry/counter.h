#pragma once

#include <atomic>
#include <cstdint>

namespace snipespar::telemetry {

/// A number of events since the process started. Any thread may use it.
class counter {
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

} // namespace snipespar::telemetry
