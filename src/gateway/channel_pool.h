#pragma once

#include "cli/endpoint.h"
#include "snipespar/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace snipespar::gateway {

class upstream_channel;

/// Pool of reusable connections to upstreams; opening new ones is expensive.
class channel_pool {
public:
    explicit channel_pool(boost::asio::any_io_executor executor)
        : executor_(std::move(executor)), lifetime_(std::make_shared<int>(0))
    {
    }

    /// Returns an idle connection that can take the request, or a new one that is not connected
    /// yet.
    std::shared_ptr<upstream_channel> acquire(const cli::endpoint& upstream,
                                              std::string_view request_id, time_point now);

    /// Returns a connection to the pool after an exchange if it is reusable.
    void release(std::shared_ptr<upstream_channel> channel, time_point now);

    /// Closes connections that have been idle for too long.
    void on_tick(time_point now);

    /// Closes all idle connections to the address of a removed upstream.
    void close_idle(const cli::endpoint& upstream);

private:
    struct idle_channel {
        std::shared_ptr<upstream_channel> channel;
        time_point expires;
    };

    boost::asio::any_io_executor executor_;
    std::map<cli::endpoint, std::vector<idle_channel>> idle_;
    /// Observed by callbacks that may outlive the pool.
    std::shared_ptr<int> lifetime_;
};

} // namespace snipespar::gateway
