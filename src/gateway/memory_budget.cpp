#include "gateway/memory_budget.h"

namespace snipespar::gateway {

namespace {

// Part of the limit from which on nothing new is begun.
constexpr double scarce_part = 0.75;

} // namespace

bool memory_budget::try_take(std::size_t bytes)
{
    if (bytes > limit_ || used_ > limit_ - bytes) {
        return false;
    }
    used_ += bytes;
    return true;
}

bool memory_budget::is_scarce() const
{
    return static_cast<double>(used_) > scarce_part * static_cast<double>(limit_);
}

} // namespace snipespar::gateway
