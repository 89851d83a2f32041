#pragma once

#include "link/frame.h"
#include "link/peer.h"

#include <functional>
#include <string>

namespace snipespar::link {

/// One authenticated connection to another process. Created by an `endpoint`; may be used from any
/// thread. After the link is down, `send` does nothing.
class link {
public:
    /// Operations of the connection that carries this link.
    struct transport {
        std::function<void(std::string)> send;
        std::function<void(std::string)> close;
    };

    link(peer remote, std::string address, transport connection);

    /// The authenticated identity of the other end.
    const peer& remote() const { return remote_; }

    /// The peer's IP address and port.
    const std::string& address() const { return address_; }

    /// Encodes and queues a frame; frames arrive in order or not at all.
    void send(const frame& message) const;

    /// Closes the link; the endpoint reports it as down with this reason.
    void close(std::string reason) const;

private:
    peer remote_;
    std::string address_;
    transport connection_;
};

} // namespace snipespar::link
