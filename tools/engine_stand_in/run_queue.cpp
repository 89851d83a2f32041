#include "run_queue.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace engine_stand_in {

namespace asio = boost::asio;

run_ticket::run_ticket(run_queue& queue, std::string model)
    : queue_(queue), model_(std::move(model))
{
    queue_.begin(model_);
}

run_ticket::~run_ticket()
{
    queue_.end(model_);
}

run_queue::run_queue(asio::any_io_executor executor, std::uint32_t max_running)
    : executor_(std::move(executor)), max_running_(max_running)
{
}

void run_queue::begin(const std::string& model)
{
    ++running_;
    ++running_by_model_[model];
}

void run_queue::end(const std::string& model)
{
    --running_;
    const auto found = running_by_model_.find(model);
    if (--found->second == 0) {
        running_by_model_.erase(found);
    }
    wake_first();
}

void run_queue::wake_first()
{
    if (!waiting_.empty() && running_ < max_running_) {
        waiting_.begin()->second->cancel();
    }
}

asio::awaitable<std::unique_ptr<run_ticket>> run_queue::admit(std::string model,
                                                              std::int64_t priority)
{
    const position own_position{priority, arrivals_++};
    asio::steady_timer wakeup(executor_);
    waiting_.emplace(own_position, &wakeup);
    // Leaves the queue on every exit path, including cancellation of the coroutine.
    struct leave_queue {
        run_queue& queue;
        const position& own_position;
        explicit leave_queue(run_queue& q, const position& p) : queue(q), own_position(p) {}
        leave_queue(const leave_queue&) = delete;
        leave_queue& operator=(const leave_queue&) = delete;
        ~leave_queue() { queue.waiting_.erase(own_position); }
    };
    const leave_queue guard(*this, own_position);
    while (running_ >= max_running_ || waiting_.begin()->first != own_position) {
        wakeup.expires_at(asio::steady_timer::time_point::max());
        co_await wakeup.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    auto ticket = std::make_unique<run_ticket>(*this, std::move(model));
    waiting_.erase(own_position);
    wake_first();
    co_return ticket;
}

} // namespace engine_stand_in
