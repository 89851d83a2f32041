#include "entry/config_service.h"

#include "cli/entry_settings.h"
#include "config/follower_message.h"
#include "config/root.h"
#include "net/start_number.h"
#include "net/steady_time.h"
#include "telemetry/spawn_task.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipespar::entry {

namespace asio = boost::asio;

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(200);
// Added to the wait of a watch; short enough that a watch without a response ends well within the
// confirmation bound.
constexpr auto call_timeout = std::chrono::seconds(1);
constexpr const char* agent_prefix = "agent/";

config::follower_settings make_follower_settings(const cli::entry_settings& settings)
{
    config::follower_settings made;
    made.self = settings.host;
    made.environment = settings.environment;
    made.seed = settings.seed == 0 ? net::start_number() : settings.seed;
    return made;
}

std::size_t count_others(const cli::entry_settings& settings)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        settings.peers, [&](const auto& peer) { return peer != settings.link_listen; }));
}

} // namespace

config_service::config_service(asio::io_context& control, const cli::entry_settings& settings,
                               peer_links& peers, send_to_agent send, adopt_function adopt)
    : control_(control), environment_(settings.environment),
      expected_peers_(count_others(settings)),
      store_(settings.platform->ip, settings.platform->port, call_timeout), peers_(peers),
      exchange_(make_follower_settings(settings), settings.failure_domain,
                make_services(std::move(send), std::move(adopt))),
      timer_(control), admits_until_(time_point::min().time_since_epoch().count())
{
    peers_.on_presence([this](const incarnation& peer, bool present) {
        if (present) {
            entries_[peer.host] = peer;
            exchange_.on_peer_up(peer.host, steady_now());
        }
        else if (entries_[peer.host] == peer) {
            entries_.erase(peer.host);
            exchange_.on_peer_down(peer.host);
        }
    });
    peers_.on_message(config::follower_topic,
                      [this](const incarnation& from, const std::string& payload) {
                          exchange_.on_message(from.host, payload, steady_now());
                          update_admits_until();
                      });
}

config::follower_services config_service::make_services(send_to_agent send, adopt_function adopt)
{
    config::follower_services services;
    services.send = [this, send = std::move(send)](const host_id& peer,
                                                   const std::string& payload) {
        if (peer.str().starts_with(agent_prefix)) {
            const auto name = peer.str().substr(std::string_view(agent_prefix).size());
            return send(upstream_id(name), payload);
        }
        const auto found = entries_.find(peer);
        if (found != entries_.end()) {
            peers_.send(found->second, config::follower_topic, payload);
        }
    };
    services.watch = [this](const config::watch_root& action) {
        telemetry::spawn_task(control_, telemetry::logger(), "config_watch", watch(action));
    };
    services.read_part = [this](const std::string& sha256) {
        telemetry::spawn_task(control_, telemetry::logger(), "config_part", read_part(sha256));
    };
    services.adopt = std::move(adopt);
    return services;
}

void config_service::start()
{
    tick();
}

void config_service::stop()
{
    timer_.cancel();
}

void config_service::tick()
{
    exchange_.update_members(expected_peers_);
    exchange_.perform(exchange_.logic().on_tick(steady_now()), steady_now());
    update_admits_until();
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const auto& error) {
        if (!error) {
            tick();
        }
    });
}

void config_service::update_admits_until()
{
    admits_until_.store(exchange_.logic().admits_until().time_since_epoch().count());
}

bool config_service::may_admit() const
{
    return steady_now().time_since_epoch().count() < admits_until_.load();
}

void config_service::on_agent_message(const upstream_id& agent, const std::string& payload)
{
    exchange_.on_message(host_id(agent_prefix + agent.str()), payload, steady_now());
}

asio::awaitable<void> config_service::watch(config::watch_root action)
{
    const auto sent = steady_now();
    const auto reply = co_await store_.perform(
        store::watch_object{config::root_key(environment_), action.after, action.wait});
    const auto now = steady_now();
    if (!reply.status.ok()) {
        exchange_.logic().on_watch_failed(now);
    }
    else {
        const auto changed =
            reply.objects.empty() ? std::nullopt : std::optional(reply.objects.front());
        exchange_.perform(exchange_.logic().on_watch_result(changed, sent, now), now);
    }
    update_admits_until();
}

asio::awaitable<void> config_service::read_part(std::string sha256)
{
    const auto reply =
        co_await store_.perform(store::get_object{config::part_key(environment_, sha256)});
    if (reply.status.ok()) {
        const auto now = steady_now();
        exchange_.perform(exchange_.logic().on_part(sha256, reply.objects.front().value, now), now);
        update_admits_until();
    }
}

} // namespace snipespar::entry
