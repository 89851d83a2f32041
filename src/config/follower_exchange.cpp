#include "config/follower_exchange.h"

#include "config/follower_codec.h"

#include <utility>

namespace snipespar::config {

// Handles one message of one peer.
struct follower_exchange::message_handler {
    follower_exchange& owner;
    const host_id& peer;
    time_point now;

    void reply(const follower_message& message) const
    {
        owner.services_.send(peer, encode(message));
    }

    void operator()(const report_query& message) const
    {
        reply(report_response{message.sent, owner.failure_domain_, owner.follower_.report(now)});
    }

    void operator()(const report_response& message) const
    {
        owner.linked_[peer] = message.failure_domain;
        // A response to a query sent later than now cannot be for this process.
        if (message.sent <= now) {
            owner.perform(owner.follower_.on_report(peer, message.report, message.sent, now), now);
        }
    }

    void operator()(const root_query&) const { reply(root_response{owner.follower_.root_text()}); }

    void operator()(const root_response& message) const
    {
        owner.perform(owner.follower_.on_root(peer, message.text, now), now);
    }

    void operator()(const part_query& message) const
    {
        if (const auto* found = owner.follower_.part(message.sha256)) {
            reply(part_response{message.sha256, *found});
        }
    }

    void operator()(const part_response& message) const
    {
        owner.perform(owner.follower_.on_part(message.sha256, message.bytes, now), now);
    }
};

follower_exchange::follower_exchange(follower_settings settings, failure_domain_id failure_domain,
                                     follower_services services)
    : self_(settings.self), failure_domain_(std::move(failure_domain)),
      follower_(std::move(settings)), services_(std::move(services))
{
}

void follower_exchange::perform(const follower_actions& actions, time_point now)
{
    for (const auto& action : actions) {
        if (const auto* watch = std::get_if<watch_root>(&action)) {
            services_.watch(*watch);
        }
        else if (const auto* query = std::get_if<query_peer>(&action)) {
            services_.send(query->peer, encode(report_query{now}));
        }
        else if (const auto* root = std::get_if<fetch_root>(&action)) {
            services_.send(root->peer, encode(root_query{}));
        }
        else if (const auto* part = std::get_if<fetch_part>(&action)) {
            part->peer.empty() ? services_.read_part(part->sha256)
                               : services_.send(part->peer, encode(part_query{part->sha256}));
        }
        else if (const auto* change = std::get_if<adopt>(&action)) {
            services_.adopt(change->config);
        }
    }
}

void follower_exchange::on_peer_up(const host_id& peer, time_point now)
{
    perform(follower_.on_peer_up(peer, now), now);
}

void follower_exchange::on_peer_down(const host_id& peer)
{
    linked_.erase(peer);
    follower_.on_peer_down(peer);
}

void follower_exchange::on_message(const host_id& peer, const std::string& payload, time_point now)
{
    const auto message = decode_follower_message(payload);
    if (!message.ok()) {
        ++undecodable_messages_;
        return;
    }
    std::visit(message_handler{*this, peer, now}, *message);
}

void follower_exchange::update_members(std::size_t expected)
{
    if (follower_.platform_reachable()) {
        members_.clear();
    }
    members_.insert(linked_.begin(), linked_.end());
    std::vector<member> list{{self_, failure_domain_}};
    for (const auto& [host, failure_domain] : members_) {
        list.push_back({host, failure_domain});
    }
    while (list.size() < expected + 1) {
        list.push_back({host_id("unseen-" + std::to_string(list.size())), failure_domain_id()});
    }
    follower_.set_members(std::move(list));
}

} // namespace snipespar::config
