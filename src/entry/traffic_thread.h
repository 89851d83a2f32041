#pragma once

#include "entry/caller_connection.h"
#include "route/retry_budget.h"

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace snipespar::entry {

/// A thread with its own event loop that serves callers' connections. Several threads share the
/// connections of one listener.
class traffic_thread {
public:
    explicit traffic_thread(const connection_services& services);
    ~traffic_thread();
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;

    /// Binds the callers' address; connections are distributed round-robin to the given threads,
    /// which include this one.
    absl::Status listen(const std::string& ip, std::uint16_t port,
                        std::vector<traffic_thread*> threads);

    /// Starts the thread.
    void start();

    /// Stops accepting and closes idle connections; from any thread.
    void drain();

    /// Checks the keys of requests in progress; from any thread.
    void check_keys(const std::shared_ptr<const config::access>& access);

    /// Ends the loop and joins the thread.
    void stop();

    boost::asio::io_context& context() { return context_; }
    route::retry_budget& retries() { return retries_; }

private:
    boost::asio::awaitable<void> accept(std::vector<traffic_thread*> threads);
    void serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::ip::tcp::acceptor acceptor_;
    const connection_services& services_;
    route::retry_budget retries_;
    std::set<std::shared_ptr<caller_connection>> connections_;
    std::thread thread_;
};

} // namespace snipespar::entry
