#pragma once

#include "link/endpoint.h"
#include "link/link_handler.h"
#include "snipespar/ids.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace snipespar::link {
struct endpoint_options;
}

namespace snipespar::entry {

/// The entry's links to the other entries, on which decision objects exchange messages. Two entries
/// may have two links, one dialled from each side; either may be used. Runs on the context's
/// thread, which is the control thread.
class peer_links {
public:
    /// Receives a message, in CBOR, from another entry.
    using message_handler =
        std::function<void(const incarnation& from, const std::string& payload)>;
    /// Called when the first link to an entry is up, and when the last one is down.
    using presence_handler = std::function<void(const incarnation& peer, bool present)>;

    peer_links(boost::asio::io_context& context, link::endpoint_options options);

    /// Accepts links from other entries.
    absl::Status listen(const std::string& ip, std::uint16_t port);

    /// Maintains a link to the entry at this address. A link to this process itself is ignored.
    void dial(const std::string& ip, std::uint16_t port);
    void disconnect(const std::string& ip, std::uint16_t port);

    /// Sets the receiver of a topic's messages; to be called before any link is up.
    void on_message(const std::string& topic, message_handler handler);

    /// Adds a receiver of changes of presence.
    void on_presence(presence_handler handler);

    /// Sends a message, or drops it if there is no link to exactly that incarnation.
    void send(const incarnation& to, const std::string& topic, const std::string& payload) const;
    void broadcast(const std::string& topic, const std::string& payload) const;

    /// Sets the configuration version sent with heartbeats.
    void advertise(std::uint64_t config_version) { links_.advertise(config_version); }

    std::vector<incarnation> present() const;
    void stop() { links_.stop(); }

private:
    void on_up(const link::link_ptr& peer);
    void on_down(const link::link_ptr& peer);
    void on_frame(const link::link_ptr& peer, const link::frame& message) const;

    incarnation self_;
    std::map<std::string, message_handler> handlers_;
    std::vector<presence_handler> presence_handlers_;
    std::map<incarnation, std::vector<link::link_ptr>> peers_;
    link::endpoint links_;
};

} // namespace snipespar::entry
