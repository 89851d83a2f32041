#include "agent/agent_server.h"

#include "base/cbor.h"
#include "cli/agent_settings.h"
#include "config/follower_message.h"
#include "config/snapshot.h"
#include "link/endpoint_options.h"
#include "link/link.h"
#include "net/start_number.h"
#include "net/steady_time.h"
#include "poison/suspect_codec.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace snipespar::agent {

namespace {

constexpr std::uint64_t drain_retry_after_ms = 1000;
constexpr int heartbeat_timeout_intervals = 3;
constexpr std::uint64_t unconfirmed_retry_after_ms = 1000;
constexpr auto tick_interval = std::chrono::milliseconds(200);
constexpr const char* suspects_topic = "suspects";

// Limits of an upstream whose declaration is unknown to this agent because the entry that sends the
// requests serves a local document.
constexpr std::uint32_t undeclared_slots = 8;
constexpr std::uint32_t undeclared_max_running = 2048;

// Entries are identified by host and start number, so that a restarted entry is a new peer.
host_id peer_name(const link::link_ptr& entry)
{
    const auto& process = entry->remote().process;
    return host_id(process.host.str() + "/" + std::to_string(process.start));
}

config::follower_settings make_follower_settings(const cli::agent_settings& settings)
{
    config::follower_settings result;
    result.self = settings.host;
    result.environment = settings.environment;
    result.watches_platform = false;
    result.seed = settings.seed == 0 ? net::start_number() : settings.seed;
    return result;
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

// Load interval from each engine's share of the weight store's rate.
duration load_interval_of(const config::snapshot& config)
{
    std::int64_t engines = 0;
    for (const auto& [id, upstream] : config.upstreams) {
        engines += upstream.kind == config::upstream_kind::engine ? 1 : 0;
    }
    if (engines == 0 || config.weight_store.loads_per_s <= 0) {
        return {};
    }
    const std::chrono::duration<double> interval(static_cast<double>(engines) /
                                                 config.weight_store.loads_per_s);
    return std::chrono::ceil<duration>(interval);
}

link::endpoint_options make_link_options(const cli::agent_settings& settings, std::uint64_t start)
{
    link::endpoint_options options;
    options.fleet_secret = settings.fleet_secret;
    options.self = {link::role::agent, {settings.host, start}};
    options.heartbeat_interval = settings.heartbeat;
    options.heartbeat_timeout = heartbeat_timeout_intervals * settings.heartbeat;
    options.seed = settings.seed;
    return options;
}

} // namespace

agent_server::agent_server(boost::asio::io_context& context, const cli::agent_settings& settings)
    : context_(context), upstream_{settings.upstream.ip, settings.upstream.port}, id_(settings.id),
      start_(net::start_number()), listen_ip_(settings.listen.ip),
      listen_port_(settings.listen.port), longest_order_time_(settings.longest_order_time),
      config_(make_follower_settings(settings), settings.failure_domain,
              make_follower_services(entries_, [this](const auto& config) { set_config(config); })),
      tick_timer_(context),
      links_(context, make_link_options(settings, start_),
             {[this](const link::link_ptr& entry) { on_link_up(entry); },
              [this](const link::link_ptr& entry, link::frame message) {
                  on_frame(entry, std::move(message));
              },
              [this](const link::link_ptr& entry, const std::string&) { on_link_down(entry); }})
{
}

absl::Status agent_server::start()
{
    tick();
    return links_.listen(listen_ip_, listen_port_);
}

void agent_server::on_link_up(const link::link_ptr& from)
{
    entries_.insert(from);
    from->send(make_report());
    if (runner_) {
        from->send(link::peer_message{suspects_topic, to_cbor(encode(runner_->suspects()))});
    }
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
    start_runner(config.get(), is_engine(*config));
    for (const auto& [key, owner] : keys_) {
        if (is_withdrawn(owner)) {
            key.from->send(link::failed{key.stream, run_state::unknown, "key_withdrawn", 0});
        }
    }
    cancel_matching([this](const stream_key&, const key_id& owner) { return is_withdrawn(owner); });
}

// Cancels the requests in progress for which `selected` returns true.
void agent_server::cancel_matching(
    const std::function<bool(const stream_key&, const key_id&)>& selected)
{
    std::vector<stream_key> ended;
    for (const auto& [key, owner] : keys_) {
        if (selected(key, owner)) {
            ended.push_back(key);
        }
    }
    for (const auto& key : ended) {
        runner_->cancel(key);
        keys_.erase(key);
    }
}

bool agent_server::is_engine(const config::snapshot& config) const
{
    const auto found = config.upstreams.find(id_);
    return found != config.upstreams.end() && found->second.kind == config::upstream_kind::engine;
}

// Starts the runner once the upstream's declaration is known; later changes of it take effect when
// the agent restarts.
void agent_server::start_runner(const config::snapshot* config, bool is_engine)
{
    if (runner_ != nullptr || (config != nullptr && !config->upstreams.contains(id_))) {
        return;
    }
    runner_ = std::make_unique<request_runner>(context_.get_executor(), upstream_,
                                               make_runner_options(config, is_engine),
                                               make_runner_events());
    runner_->merge_suspects(std::exchange(pending_suspects_, {}));
    runner_->start();
}

runner_options agent_server::make_runner_options(const config::snapshot* config,
                                                 bool is_engine) const
{
    runner_options options;
    options.id = id_;
    options.start = start_;
    options.is_engine = is_engine;
    auto& scheduling = options.scheduling;
    scheduling.residency.first_fence = start_;
    scheduling.residency.longest_order_time = longest_order_time_;
    scheduling.residency.slots = undeclared_slots;
    scheduling.max_running = undeclared_max_running;
    if (config != nullptr) {
        const auto& declared = config->upstreams.at(id_);
        options.load_interval = load_interval_of(*config);
        scheduling.residency.slots = std::max(1U, declared.adapter_slots);
        scheduling.residency.checks_fencing = declared.checks_fencing;
        scheduling.max_running = std::max(1U, declared.max_running);
    }
    if (!options.is_engine) {
        scheduling.residency.longest_order_time = {};
    }
    scheduling.max_queued = std::max<std::size_t>(scheduling.max_queued, scheduling.max_running);
    return options;
}

runner_events agent_server::make_runner_events()
{
    runner_events events;
    events.changed = [this] { report_to_all(); };
    events.drained = [this] {
        if (drained_) {
            boost::asio::post(context_, std::exchange(drained_, nullptr));
        }
    };
    events.suspects = [this](const poison::suspect_digest& digest) {
        send_suspects_to_entries(digest);
    };
    return events;
}

void agent_server::send_suspects_to_entries(const poison::suspect_digest& digest) const
{
    const link::peer_message message{suspects_topic, to_cbor(encode(digest))};
    for (const auto& entry : entries_) {
        entry->send(message);
    }
}

bool agent_server::is_withdrawn(const key_id& key) const
{
    const auto& config = config_.logic().active_config();
    if (!config || key.empty()) {
        return false;
    }
    const auto found = config->keys.find(key);
    return found != config->keys.end() && found->second.withdrawn;
}

// Returns why a request may not run under the active configuration; empty if it may.
std::string agent_server::refusal_reason(const link::run_request& request) const
{
    if (is_withdrawn(request.key)) {
        return "key_withdrawn";
    }
    const auto& logic = config_.logic();
    return logic.active_config() && !logic.may_admit(steady_now()) ? "configuration_unconfirmed"
                                                                   : "";
}

void agent_server::drain(std::function<void()> drained)
{
    draining_ = true;
    drained_ = std::move(drained);
    if (runner_) {
        runner_->drain();
        return;
    }
    report_to_all();
    boost::asio::post(context_, std::exchange(drained_, nullptr));
}

void agent_server::stop()
{
    if (runner_) {
        runner_->stop();
    }
    links_.stop();
}

void agent_server::on_frame(const link::link_ptr& from, link::frame message)
{
    if (auto* request = std::get_if<link::run_request>(&message)) {
        on_run_request(from, std::move(*request));
    }
    else if (const auto* cancelled = std::get_if<link::cancel>(&message)) {
        const stream_key cancelled_key{from, cancelled->stream};
        cancel_matching([&](const stream_key& key, const key_id&) { return key == cancelled_key; });
    }
    else if (const auto* sent = std::get_if<link::peer_message>(&message)) {
        on_peer_message(from, *sent);
    }
    else if (const auto* more = std::get_if<link::window>(&message); more != nullptr && runner_) {
        runner_->add_window({from, more->stream}, more->bytes);
    }
}

void agent_server::on_peer_message(const link::link_ptr& from, const link::peer_message& message)
{
    if (message.topic == config::follower_topic) {
        config_.on_message(peer_name(from), message.payload, steady_now());
        return;
    }
    if (message.topic != suspects_topic) {
        return;
    }
    const auto value = from_cbor(message.payload);
    if (!value.ok()) {
        return;
    }
    const auto digest = poison::decode_suspect_digest(*value);
    if (digest.ok() && runner_) {
        runner_->merge_suspects(*digest);
    }
    else if (digest.ok()) {
        pending_suspects_.insert(pending_suspects_.end(), digest->begin(), digest->end());
    }
}

void agent_server::on_link_down(const link::link_ptr& from)
{
    entries_.erase(from);
    config_.on_peer_down(peer_name(from));
    cancel_matching([&](const stream_key& key, const key_id&) { return key.from == from; });
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
    if (keys_.contains(key)) {
        from->close("stream number used twice");
        return;
    }
    if (request.config_version == 0) {
        start_runner(nullptr, !request.adapter.adapter.empty());
    }
    if (runner_ == nullptr) {
        from->send(
            link::refused{request.stream, "configuration_unconfirmed", unconfirmed_retry_after_ms});
        return;
    }
    keys_[key] = request.key;
    runner_->submit(key, std::move(request), [this, key](const link::frame& message) {
        key.from->send(message);
        if (std::holds_alternative<link::done>(message) ||
            std::holds_alternative<link::failed>(message) ||
            std::holds_alternative<link::refused>(message)) {
            erase_key(key);
        }
    });
}

void agent_server::erase_key(const stream_key& key)
{
    keys_.erase(key);
}

link::upstream_report agent_server::make_report() const
{
    link::upstream_report report;
    if (runner_) {
        report = runner_->report();
    }
    report.leaving = report.leaving || draining_;
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
