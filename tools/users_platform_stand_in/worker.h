#pragma once

#include "http_session.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace users_platform_stand_in {

/// What a worker is started as.
struct worker_options {
    std::string id;
    /// Holds a base model and adapters, and takes orders.
    bool is_engine = false;
    int adapter_slots = 4;
    std::chrono::milliseconds load_time{30};
    /// Pause between two events of a stream.
    std::chrono::milliseconds event_pause{10};
    int events = 8;
};

/// A worker of the users' platform: runs plain requests and streams, and keeps a record of what it
/// ran, which `GET /runs` returns.
///
/// A stream has `events` events whose data is the request id and the number; a plain answer is the
/// request id and the request's body. Targets that contain `/slow/` take ten times as long.
class worker {
public:
    worker(boost::asio::io_context& context, worker_options options);

    boost::asio::awaitable<bool> handle(boost::asio::ip::tcp::socket& socket,
                                        const request& message);

private:
    response report() const;
    response order(const request& message);
    boost::asio::awaitable<bool> run(boost::asio::ip::tcp::socket& socket, const request& message);
    boost::asio::awaitable<bool> stream(boost::asio::ip::tcp::socket& socket,
                                        const request& message);
    bool holds(const std::string& model) const;
    void finish_loads();

    boost::asio::io_context& context_;
    worker_options options_;
    std::uint64_t born_ms_;
    std::uint64_t orders_ = 0;
    std::set<std::string> models_;
    /// By `model/adapter`, with the moment at which it is loaded.
    std::map<std::string, std::chrono::steady_clock::time_point> loading_;
    std::set<std::string> adapters_;
    int running_ = 0;
    /// Orders that asked for more adapters than there are places.
    int overfull_orders_ = 0;
    nlohmann::json runs_ = nlohmann::json::array();
};

} // namespace users_platform_stand_in
