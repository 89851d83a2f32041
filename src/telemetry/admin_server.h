#pragma once

#include "telemetry/admin_handlers.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace snipespar::telemetry {

class logger;

/// Serves `/metrics`, `/livez`, `/readyz` (also `/ready`), `/status` and, where it has a handler,
/// `/explain` by HTTP on a separate port.
/// `/livez` succeeds as long as the executor runs.
class admin_server {
public:
    /// Binds and starts to serve. Fails when the address cannot be bound. Must be called, and the
    /// result destroyed, on the executor or while it does not run.
    static absl::StatusOr<std::unique_ptr<admin_server>>
    make(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& listen,
         admin_handlers handlers, const logger& log);

    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    /// Closes the listener and all connections.
    ~admin_server();

    /// The bound address, with the port that the kernel chose if port 0 was given.
    boost::asio::ip::tcp::endpoint local_endpoint() const;

private:
    class state;

    explicit admin_server(std::shared_ptr<state> shared);

    std::shared_ptr<state> state_;
};

} // namespace snipespar::telemetry
