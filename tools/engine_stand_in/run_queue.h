#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace engine_stand_in {

class run_queue;

/// Permission for one request to run; released with the object.
class run_ticket {
public:
    run_ticket(run_queue& queue, std::string model);
    ~run_ticket();
    run_ticket(const run_ticket&) = delete;
    run_ticket& operator=(const run_ticket&) = delete;

private:
    run_queue& queue_;
    std::string model_;
};

/// Limits the number of concurrent requests; others wait by priority (lower first), then by
/// arrival.
class run_queue {
public:
    run_queue(boost::asio::any_io_executor executor, std::uint32_t max_running);

    /// Completes when the request may run. Cancellation removes it from the queue.
    boost::asio::awaitable<std::unique_ptr<run_ticket>> admit(std::string model,
                                                              std::int64_t priority);

    std::size_t running() const { return running_; }
    std::size_t waiting() const { return waiting_.size(); }
    bool runs(const std::string& model) const { return running_by_model_.contains(model); }

private:
    friend class run_ticket;
    using position = std::pair<std::int64_t, std::uint64_t>;

    void begin(const std::string& model);
    void end(const std::string& model);
    void wake_first();

    boost::asio::any_io_executor executor_;
    std::uint32_t max_running_;
    std::size_t running_ = 0;
    std::uint64_t arrivals_ = 0;
    std::map<std::string, std::size_t> running_by_model_;
    std::map<position, boost::asio::steady_timer*> waiting_;
};

} // namespace engine_stand_in
