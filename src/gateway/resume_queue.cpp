#include "gateway/resume_queue.h"

namespace snipespar::gateway {

void resume_queue::add(std::uint64_t number, std::uint64_t delivered, time_point due)
{
    waiting_[{delivered, number}] = due;
}

void resume_queue::remove(std::uint64_t number, std::uint64_t delivered)
{
    waiting_.erase({delivered, number});
}

bool resume_queue::is_among_first(std::uint64_t number, std::uint64_t delivered, std::size_t places,
                                  time_point now) const
{
    const waiting_stream wanted{delivered, number};
    for (const auto& [item, due] : waiting_) {
        if (places == 0) {
            return false;
        }
        if (item == wanted) {
            return now >= due;
        }
        places -= now >= due ? 1 : 0;
    }
    return false;
}

} // namespace snipespar::gateway
