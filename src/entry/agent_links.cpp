#include "entry/agent_links.h"

#include "config/snapshot.h"
#include "link/endpoint_options.h"
#include "link/link.h"

#include <boost/asio/dispatch.hpp>
#include <optional>
#include <vector>

namespace snipespar::entry {

namespace {

// The stream of a frame, if it belongs to one.
std::optional<std::uint64_t> stream_of(const link::frame& message)
{
    return std::visit(
        [](const auto& value) -> std::optional<std::uint64_t> {
            if constexpr (requires { value.stream; }) {
                return value.stream;
            }
            else {
                return std::nullopt;
            }
        },
        message);
}

bool is_final(const link::frame& message)
{
    return std::holds_alternative<link::done>(message) ||
           std::holds_alternative<link::failed>(message) ||
           std::holds_alternative<link::refused>(message);
}

std::string address_of(const config::upstream& upstream)
{
    return upstream.agent_address + ":" + std::to_string(upstream.agent_port);
}

} // namespace

agent_links::agent_links(boost::asio::io_context& context, link::endpoint_options options,
                         agent_link_events events)
    : context_(context), events_(std::move(events)),
      links_(context, std::move(options),
             {[this](const link::link_ptr& agent) { on_up(agent); },
              [this](const link::link_ptr& agent, link::frame message) {
                  on_frame(agent, std::move(message));
              },
              [this](const link::link_ptr& agent, const std::string&) { on_down(agent); }})
{
}

void agent_links::set_upstreams(const config::snapshot& config)
{
    std::map<std::string, upstream_id> configured;
    std::map<std::string, std::pair<std::string, std::uint16_t>> dialled;
    for (const auto& [id, upstream] : config.upstreams) {
        configured.emplace(address_of(upstream), id);
        dialled[address_of(upstream)] = {upstream.agent_address, upstream.agent_port};
    }
    boost::asio::dispatch(context_, [this, configured = std::move(configured),
                                     dialled = std::move(dialled)] {
        const auto before = std::exchange(upstreams_by_address_, configured);
        for (const auto& [address, id] : before) {
            if (!configured.contains(address)) {
                const auto colon = address.rfind(':');
                links_.disconnect(address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(
                                                                address.substr(colon + 1))));
            }
        }
        for (const auto& [address, target] : dialled) {
            links_.dial(target.first, target.second);
        }
    });
}

void agent_links::open(ticket id, const upstream_id& upstream, link::run_request request,
                       stream_owner owner)
{
    boost::asio::dispatch(context_, [this, id, upstream, request = std::move(request),
                                     owner = std::move(owner)]() mutable {
        const auto found = links_by_upstream_.find(upstream);
        if (found == links_by_upstream_.end()) {
            constexpr bool sent = false;
            owner.lost(sent);
            return;
        }
        request.stream = ++last_number_;
        tickets_[{found->second, request.stream}] = id;
        streams_[id] = {found->second, request.stream, std::move(owner)};
        found->second->send(request);
    });
}

void agent_links::cancel(ticket id)
{
    boost::asio::dispatch(context_, [this, id] {
        const auto found = streams_.find(id);
        if (found != streams_.end()) {
            found->second.connection->send(link::cancel{found->second.number});
            remove_stream(id);
        }
    });
}

void agent_links::allow(ticket id, std::uint64_t bytes)
{
    boost::asio::dispatch(context_, [this, id, bytes] {
        const auto found = streams_.find(id);
        if (found != streams_.end()) {
            found->second.connection->send(link::window{found->second.number, bytes});
        }
    });
}

void agent_links::send(const upstream_id& upstream, const link::peer_message& message)
{
    boost::asio::dispatch(context_, [this, upstream, message] {
        const auto found = links_by_upstream_.find(upstream);
        if (found != links_by_upstream_.end()) {
            found->second->send(message);
        }
    });
}

void agent_links::broadcast(const link::peer_message& message)
{
    boost::asio::dispatch(context_, [this, message] {
        for (const auto& [upstream, agent] : links_by_upstream_) {
            agent->send(message);
        }
    });
}

void agent_links::stop()
{
    links_.stop();
}

void agent_links::on_up(const link::link_ptr& agent)
{
    const auto found = upstreams_by_address_.find(agent->address());
    if (found == upstreams_by_address_.end() || agent->remote().process_role != link::role::agent) {
        agent->close("not the agent of a configured upstream");
        return;
    }
    links_by_upstream_[found->second] = agent;
    events_.up(found->second, agent->remote().process);
}

void agent_links::on_down(const link::link_ptr& agent)
{
    std::vector<ticket> lost;
    for (const auto& [number, id] : tickets_) {
        if (number.first == agent) {
            lost.push_back(id);
        }
    }
    for (const auto id : lost) {
        const auto owner = std::move(streams_.at(id).owner);
        remove_stream(id);
        constexpr bool sent = true;
        owner.lost(sent);
    }
    for (auto it = links_by_upstream_.begin(); it != links_by_upstream_.end();) {
        if (it->second != agent) {
            ++it;
            continue;
        }
        events_.down(it->first);
        it = links_by_upstream_.erase(it);
    }
}

void agent_links::on_frame(const link::link_ptr& agent, link::frame message)
{
    for (const auto& [upstream, connection] : links_by_upstream_) {
        if (connection == agent) {
            report_control_frame(upstream, message);
        }
    }
    const auto number = stream_of(message);
    const auto found = number ? tickets_.find({agent, *number}) : tickets_.end();
    if (found == tickets_.end()) {
        return;
    }
    const auto id = found->second;
    const auto owner = streams_.at(id).owner;
    if (is_final(message)) {
        remove_stream(id);
    }
    owner.received(std::move(message));
}

void agent_links::report_control_frame(const upstream_id& upstream,
                                       const link::frame& message) const
{
    if (const auto* report = std::get_if<link::upstream_report>(&message)) {
        events_.reported(upstream, *report);
    }
    else if (const auto* sent = std::get_if<link::peer_message>(&message)) {
        events_.message(upstream, *sent);
    }
}

void agent_links::remove_stream(ticket id)
{
    const auto found = streams_.find(id);
    tickets_.erase({found->second.connection, found->second.number});
    streams_.erase(found);
}

} // namespace snipespar::entry
