#pragma once

#include "cli/endpoint.h"
#include "snipespar/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <vector>

namespace snipespar::gateway {

class upstream_channel;

/// Connections to upstreams, kept and used again, since new ones are dear.
class channel_pool {
public:
    explicit channel_pool(boost::asio::any_io_executor executor)
        : executor_(std::move(executor)), self_(std::make_shared<int>(0))
    {
    }

    /// A kept connection, or a new one that is not connected yet.
    std::shared_ptr<upstream_channel> take(const cli::endpoint& upstream, time_point now);

    /// Keeps a connection after an exchange, if it can be used again.
    void give_back(std::shared_ptr<upstream_channel> channel, time_point now);

    /// Closes connections that have been idle for too long.
    void on_tick(time_point now);

    /// Closes all idle connections to an address whose upstream has gone.
    void drop(const cli::endpoint& upstream);

private:
    struct idle_channel {
        std::shared_ptr<upstream_channel> channel;
        time_point expires;
    };

    boost::asio::any_io_executor executor_;
    std::map<cli::endpoint, std::vector<idle_channel>> idle_;
    /// Observed by callbacks that may outlive the pool.
    std::shared_ptr<int> self_;
};

} // namespace snipespar::gateway
