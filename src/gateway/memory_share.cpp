#include "gateway/memory_share.h"

#include "gateway/memory_budget.h"

#include <utility>

namespace snipespar::gateway {

namespace {

constexpr std::size_t free_bytes = 4096;

std::size_t counted(std::size_t bytes)
{
    return bytes > free_bytes ? bytes - free_bytes : 0;
}

} // namespace

memory_share& memory_share::operator=(memory_share&& other) noexcept
{
    if (this != &other) {
        release();
        budget_ = std::move(other.budget_);
        taken_ = std::exchange(other.taken_, 0);
    }
    return *this;
}

bool memory_share::try_resize(std::size_t bytes)
{
    const auto needed = counted(bytes);
    if (needed > taken_ && !budget_->try_take(needed - taken_)) {
        return false;
    }
    if (needed < taken_) {
        budget_->give_back(taken_ - needed);
    }
    taken_ = needed;
    return true;
}

void memory_share::resize(std::size_t bytes)
{
    const auto needed = counted(bytes);
    if (needed > taken_) {
        budget_->take(needed - taken_);
    }
    else if (needed < taken_) {
        budget_->give_back(taken_ - needed);
    }
    taken_ = needed;
}

} // namespace snipespar::gateway
