#include "route/retry_budget.h"

#include <algorithm>

namespace snipespar::route {

retry_budget::retry_budget(retry_budget_limits limits)
    : limits_(limits), available_(limits.capacity)
{
}

void retry_budget::set_limits(retry_budget_limits limits)
{
    limits_ = limits;
    available_ = std::min(available_, limits_.capacity);
}

void retry_budget::on_request()
{
    available_ = std::min(limits_.capacity, available_ + limits_.retries_per_request);
}

bool retry_budget::try_take()
{
    if (available_ < 1) {
        ++refused_;
        return false;
    }
    available_ -= 1;
    return true;
}

} // namespace snipespar::route
