#pragma once

#include "entry/stream_owner.h"
#include "link/endpoint.h"
#include "link/frame/peer_message.h"
#include "link/link_handler.h"
#include "snipespar/ids.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace snipespar::config {
struct snapshot;
}

namespace snipespar::link {
struct endpoint_options;
}

namespace snipespar::entry {

/// Events of the links for the control side. Called on the links' thread.
struct agent_link_events {
    std::function<void(const upstream_id&, const incarnation& agent)> up;
    std::function<void(const upstream_id&)> down;
    std::function<void(const upstream_id&, const link::upstream_report&)> reported;
    /// A message of one of the agent's decision objects.
    std::function<void(const upstream_id&, const link::peer_message&)> message;
};

/// The entry's links to the agents of all configured upstreams, and the streams on them. Runs on
/// the context's thread; `open`, `cancel` and `allow` may be called from any.
class agent_links {
public:
    /// Identifies one stream while it is open; chosen by the caller of `open`.
    using ticket = std::uint64_t;

    agent_links(boost::asio::io_context& context, link::endpoint_options options,
                agent_link_events events);

    /// Links to the agents of these upstreams and disconnects from all others.
    void set_upstreams(const config::snapshot& config);

    /// Sends a request to an upstream's agent. Exactly one of a final frame, `lost`, and a later
    /// `cancel` ends the stream.
    void open(ticket id, const upstream_id& upstream, link::run_request request,
              stream_owner owner);

    /// Ends a stream without further callbacks to its owner.
    void cancel(ticket id);

    /// Grants the agent `bytes` more of a stream's flow control window.
    void allow(ticket id, std::uint64_t bytes);

    /// Sends a message to the decision objects of one agent, or of all; from any thread.
    void send(const upstream_id& upstream, const link::peer_message& message);
    void broadcast(const link::peer_message& message);

    /// Sets the configuration version sent with heartbeats; from any thread.
    void advertise(std::uint64_t config_version) { links_.advertise(config_version); }

    void stop();

private:
    struct open_stream {
        link::link_ptr connection;
        std::uint64_t number = 0;
        stream_owner owner;
    };
    using stream_number = std::pair<link::link_ptr, std::uint64_t>;

    void on_up(const link::link_ptr& agent);
    void on_down(const link::link_ptr& agent);
    void on_frame(const link::link_ptr& agent, link::frame message);
    void report_control_frame(const upstream_id& upstream, const link::frame& message) const;
    void remove_stream(ticket id);

    boost::asio::io_context& context_;
    agent_link_events events_;
    /// Agents' addresses, `ip:port`.
    std::map<std::string, upstream_id> upstreams_by_address_;
    std::map<upstream_id, link::link_ptr> links_by_upstream_;
    std::map<ticket, open_stream> streams_;
    std::map<stream_number, ticket> tickets_;
    std::uint64_t last_number_ = 0;
    link::endpoint links_;
};

} // namespace snipespar::entry
