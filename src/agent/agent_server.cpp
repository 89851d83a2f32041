#include "agent/agent_server.h"

#include "cli/agent_settings.h"
#include "config/follower_message.h"
#include "config/snapshot.h"
#include "link/endpoint_options.h"
#include "link/link.h"
#include "net/start_number.h"
#include "net/steady_time.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace snipespar::agent {

namespace {

constexpr std::uint64_t drain_retry_after_ms = 1000;
constexpr std::uint64_t load_retry_after_ms = 1000;
constexpr int heartbeats_until_dead = 3;
constexpr std::uint64_t unconfirmed_retry_after_ms = 1000;
constexpr auto tick_interval = std::chrono::milliseconds(200);

// Entries are told apart by host and start, so that a replacement is a new peer.
host_id peer_name(const link::link_ptr& entry)
{
    const auto& process = entry->remote().process;
    return host_id(process.host.str() + "/" + std::to_string(process.start));
}

config::follower_settings make_follower_settings(const cli::agent_settings& settings)
{
    config::follower_settings made;
    made.self = settings.host;
    made.environment = settings.environment;
    made.watches_platform = false;
    made.seed = settings.seed == 0 ? net::start_number() : settings.seed;
    return made;
}

config::follower_services
make_follower_services(const std::set<link::link_ptr>& entries,
                       std::function<void(const std::shared_ptr<const config::snapshot>&)> adopt)
{
    config::follower_services services;
    services.send = [&entries](const host_id& peer, const std::string& payload) {
        for (const auto& entry : entries) {
            if (peer_name(entry) == peer) {
                entry->send(link::peer_message{config::follower_topic, payload});
                return;
            }
        }
    };
    services.watch = [](const config::watch_root&) {};
    services.read_part = [](const std::string&) {};
    services.adopt = std::move(adopt);
    return services;
}

link::endpoint_options make_link_options(const cli::agent_settings& settings)
{
    link::endpoint_options options;
    options.fleet_secret = settings.fleet_secret;
    options.self = {link::role::agent, {settings.host, net::start_number()}};
    options.heartbeat_interval = settings.heartbeat;
    options.heartbeat_timeout = heartbeats_until_dead * settings.heartbeat;
    options.seed = settings.seed;
    return options;
}

} // namespace

agent_server::agent_server(boost::asio::io_context& context, const cli::agent_settings& settings)
    : context_(context), upstream_{settings.upstream.ip, settings.upstream.port},
      listen_ip_(settings.listen.ip), listen_port_(settings.listen.port),
      orders_(context.get_executor(), upstream_),
      config_(make_follower_settings(settings), settings.failure_domain,
              make_follower_services(entries_, [this](const auto& config) { set_config(config); })),
      tick_timer_(context), fencing_number_(net::start_number()),
      links_(context, make_link_options(settings),
             {[this](const link::link_ptr& entry) { on_up(entry); },
              [this](const link::link_ptr& entry, link::frame message) {
                  on_frame(entry, std::move(message));
              },
              [this](const link::link_ptr& entry, const std::string&) { on_down(entry); }})
{
}

absl::Status agent_server::start()
{
    tick();
    return links_.listen(listen_ip_, listen_port_);
}

void agent_server::on_up(const link::link_ptr& from)
{
    entries_.insert(from);
    from->send(make_report());
    config_.on_peer_up(peer_name(from), steady_now());
}

void agent_server::tick()
{
    config_.perform(config_.logic().on_tick(steady_now()), steady_now());
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const auto& error) {
        if (!error) {
            tick();
        }
    });
}

void agent_server::set_config(const std::shared_ptr<const config::snapshot>& config)
{
    links_.advertise(config->version);
    std::vector<stream_key> withdrawn;
    for (const auto& [key, owner] : keys_) {
        if (is_withdrawn(owner)) {
            withdrawn.push_back(key);
        }
    }
    for (const auto& key : withdrawn) {
        key.from->send(link::failed{key.stream, run_state::unknown, "key_withdrawn", 0});
        on_cancel(key);
    }
}

bool agent_server::is_withdrawn(const key_id& key) const
{
    const auto& config = config_.logic().in_force();
    if (!config || key.empty()) {
        return false;
    }
    const auto found = config->keys.find(key);
    return found != config->keys.end() && found->second.withdrawn;
}

// Why a request may not run under the configuration in force; empty if it may.
std::string agent_server::refusal_reason(const link::run_request& request) const
{
    if (is_withdrawn(request.key)) {
        return "key_withdrawn";
    }
    const auto& logic = config_.logic();
    return logic.in_force() && !logic.may_admit(steady_now()) ? "configuration_unconfirmed" : "";
}

void agent_server::drain(std::function<void()> drained)
{
    draining_ = true;
    drained_ = std::move(drained);
    report_to_all();
    if (calls_.empty()) {
        boost::asio::post(context_, drained_);
    }
}

void agent_server::stop()
{
    for (const auto& [key, call] : calls_) {
        call->cancel();
    }
    links_.stop();
}

void agent_server::on_frame(const link::link_ptr& from, link::frame message)
{
    if (auto* request = std::get_if<link::run_request>(&message)) {
        on_run_request(from, std::move(*request));
    }
    else if (const auto* cancelled = std::get_if<link::cancel>(&message)) {
        on_cancel({from, cancelled->stream});
    }
    else if (const auto* sent = std::get_if<link::peer_message>(&message)) {
        if (sent->topic == config::follower_topic) {
            config_.on_message(peer_name(from), sent->payload, steady_now());
        }
    }
    else if (const auto* more = std::get_if<link::window>(&message)) {
        const auto found = calls_.find({from, more->stream});
        if (found != calls_.end()) {
            found->second->add_window(more->bytes);
        }
    }
}

void agent_server::on_down(const link::link_ptr& from)
{
    entries_.erase(from);
    config_.on_peer_down(peer_name(from));
    std::vector<stream_key> lost;
    for (const auto& [key, call] : calls_) {
        if (key.from == from) {
            lost.push_back(key);
        }
    }
    for (const auto& key : lost) {
        on_cancel(key);
    }
}

void agent_server::on_run_request(const link::link_ptr& from, link::run_request request)
{
    const stream_key key{from, request.stream};
    if (draining_) {
        from->send(link::refused{request.stream, "draining", drain_retry_after_ms});
        return;
    }
    if (auto reason = refusal_reason(request); !reason.empty()) {
        from->send(link::refused{request.stream, std::move(reason), unconfirmed_retry_after_ms});
        return;
    }
    if (calls_.contains(key)) {
        from->close("stream number used twice");
        return;
    }
    from->send(link::accepted{request.stream});
    keys_[key] = request.key;
    const std::string adapter =
        request.adapter.adapter.empty() ? std::string() : request.adapter.str();
    const std::string source = request.adapter_source;
    calls_[key] = std::make_shared<upstream_call>(
        context_.get_executor(), upstream_, std::move(request),
        [from](const link::frame& message) { from->send(message); });
    if (adapter.empty() || resident_.contains(adapter)) {
        run(key);
        return;
    }
    orders_.load(adapter, source, ++fencing_number_, [this, key, adapter](bool ok) {
        if (ok) {
            resident_.insert(adapter);
            run(key);
        }
        else if (calls_.contains(key)) {
            key.from->send(link::refused{key.stream, "adapter_load_failed", load_retry_after_ms});
            call_finished(key);
        }
    });
}

void agent_server::on_cancel(const stream_key& key)
{
    const auto found = calls_.find(key);
    if (found != calls_.end()) {
        found->second->cancel();
        call_finished(key);
    }
}

void agent_server::run(const stream_key& key)
{
    const auto found = calls_.find(key);
    if (found != calls_.end()) {
        found->second->start([this, key] { call_finished(key); });
    }
}

void agent_server::call_finished(const stream_key& key)
{
    calls_.erase(key);
    keys_.erase(key);
    if (draining_ && calls_.empty() && drained_) {
        boost::asio::post(context_, std::exchange(drained_, nullptr));
    }
}

link::upstream_report agent_server::make_report() const
{
    link::upstream_report report;
    report.ready = !draining_;
    report.leaving = draining_;
    report.running = static_cast<std::uint32_t>(calls_.size());
    report.resident.assign(resident_.begin(), resident_.end());
    return report;
}

void agent_server::report_to_all()
{
    const auto report = make_report();
    for (const auto& entry : entries_) {
        entry->send(report);
    }
}

} // namespace snipespar::agent
