#include "gateway/resume_queue.h"

namespace snipespar::gateway {

void resume_queue::add(std::uint64_t number, std::uint64_t delivered)
{
    waiting_.insert({delivered, number});
}

void resume_queue::remove(std::uint64_t number, std::uint64_t delivered)
{
    waiting_.erase({delivered, number});
}

bool resume_queue::is_among_first(std::uint64_t number, std::uint64_t delivered,
                                  std::size_t places) const
{
    const waiting_stream wanted{delivered, number};
    for (const auto& item : waiting_) {
        if (places == 0) {
            return false;
        }
        if (item == wanted) {
            return true;
        }
        --places;
    }
    return false;
}

} // namespace snipespar::gateway
