#include "entry/peer_links.h"

#include "link/endpoint_options.h"
#include "link/link.h"

#include <utility>

namespace snipespar::entry {

peer_links::peer_links(boost::asio::io_context& context, link::endpoint_options options)
    : self_(options.self.process),
      links_(context, std::move(options),
             {[this](const link::link_ptr& peer) { on_up(peer); },
              [this](const link::link_ptr& peer, const link::frame& message) {
                  on_frame(peer, message);
              },
              [this](const link::link_ptr& peer, const std::string&) { on_down(peer); }})
{
}

absl::Status peer_links::listen(const std::string& ip, std::uint16_t port)
{
    return links_.listen(ip, port);
}

void peer_links::dial(const std::string& ip, std::uint16_t port)
{
    links_.dial(ip, port);
}

void peer_links::disconnect(const std::string& ip, std::uint16_t port)
{
    links_.disconnect(ip, port);
}

void peer_links::on_message(const std::string& topic, message_handler handler)
{
    handlers_[topic] = std::move(handler);
}

void peer_links::on_presence(presence_handler handler)
{
    presence_handlers_.push_back(std::move(handler));
}

void peer_links::send(const incarnation& to, const std::string& topic,
                      const std::string& payload) const
{
    const auto found = peers_.find(to);
    if (found != peers_.end()) {
        found->second.front()->send(link::peer_message{topic, payload});
    }
}

void peer_links::broadcast(const std::string& topic, const std::string& payload) const
{
    for (const auto& [peer, links] : peers_) {
        links.front()->send(link::peer_message{topic, payload});
    }
}

std::vector<incarnation> peer_links::present() const
{
    std::vector<incarnation> list;
    list.reserve(peers_.size());
    for (const auto& [peer, links] : peers_) {
        list.push_back(peer);
    }
    return list;
}

void peer_links::on_up(const link::link_ptr& peer)
{
    const auto& remote = peer->remote();
    if (remote.process_role != link::role::entry || remote.process == self_) {
        return;
    }
    auto& links = peers_[remote.process];
    links.push_back(peer);
    if (links.size() == 1) {
        for (const auto& handler : presence_handlers_) {
            handler(remote.process, true);
        }
    }
}

void peer_links::on_down(const link::link_ptr& peer)
{
    const auto found = peers_.find(peer->remote().process);
    if (found == peers_.end() || std::erase(found->second, peer) == 0 || !found->second.empty()) {
        return;
    }
    peers_.erase(found);
    for (const auto& handler : presence_handlers_) {
        handler(peer->remote().process, false);
    }
}

void peer_links::on_frame(const link::link_ptr& peer, const link::frame& message) const
{
    const auto* sent = std::get_if<link::peer_message>(&message);
    if (sent == nullptr || peer->remote().process_role != link::role::entry) {
        return;
    }
    const auto handler = handlers_.find(sent->topic);
    if (handler != handlers_.end()) {
        handler->second(peer->remote().process, sent->payload);
    }
}

} // namespace snipespar::entry
