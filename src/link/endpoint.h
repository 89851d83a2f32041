#pragma once

#include "link/link_handler.h"

#include <absl/status/status.h>
#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace snipespar::link {

struct endpoint_options;

/// All links of one process: accepts, dials and authenticates them, monitors them by heartbeats and
/// replaces those whose peer is unresponsive. Runs on one thread of the given context; only
/// `advertise` may be called from other threads.
class endpoint {
public:
    endpoint(boost::asio::io_context& context, endpoint_options options, link_handler handler);
    ~endpoint();
    endpoint(const endpoint&) = delete;
    endpoint& operator=(const endpoint&) = delete;

    /// Accepts links on an IP address and port. The bind is exclusive: while this process runs, no
    /// other can listen there.
    absl::Status listen(const std::string& address, std::uint16_t port);

    /// Maintains a link to an IP address and port: redials with backoff whenever it is lost.
    void dial(const std::string& address, std::uint16_t port);

    /// Stops dialling and closes the link, if there is one.
    void disconnect(const std::string& address, std::uint16_t port);

    /// Sets the configuration version sent with heartbeats.
    void advertise(std::uint64_t config_version);

    /// Stops accepting and closes every link.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace snipespar::link
