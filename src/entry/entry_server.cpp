#include "entry/entry_server.h"

#include "base/cbor.h"
#include "cli/entry_settings.h"
#include "config/access.h"
#include "config/follower_message.h"
#include "config/snapshot.h"
#include "entry/budget_reservation.h"
#include "entry/traffic_thread.h"
#include "link/endpoint_options.h"
#include "net/start_number.h"
#include "net/steady_time.h"
#include "poison/suspect_codec.h"
#include "telemetry/admin_server.h"
#include "telemetry/gauge.h"
#include "telemetry/span_exporter.h"
#include "telemetry/spawn_task.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

constexpr int missed_heartbeats_until_timeout = 3;

// Agents' reports of requests that crash upstreams; entries forward them to all other agents.
constexpr const char* suspects_topic = "suspects";

boost::asio::ip::tcp::endpoint to_tcp_endpoint(const cli::endpoint& address)
{
    return {boost::asio::ip::make_address(address.ip), address.port};
}

link::endpoint_options make_link_options(const cli::entry_settings& settings, std::uint64_t start)
{
    link::endpoint_options options;
    options.fleet_secret = settings.fleet_secret;
    options.self = {link::role::entry, {settings.host, start}};
    options.heartbeat_interval = settings.heartbeat;
    options.heartbeat_timeout = missed_heartbeats_until_timeout * settings.heartbeat;
    options.seed = settings.seed;
    return options;
}

} // namespace

entry_server::entry_server(boost::asio::io_context& control, const cli::entry_settings& settings)
    : control_(control), start_(net::start_number()), states_(log_),
      traces_(settings.seed == 0 ? start_ : settings.seed), counters_timer_(control),
      counters_interval_(settings.counters_interval),
      chooser_(settings.failure_domain, settings.seed),
      peers_(control, make_link_options(settings, start_)), self_{settings.host, start_},
      local_limits_(control.get_executor(),
                    {{settings.host, start_}, settings.failure_domain, false}),
      budgets_(control, {settings.host, start_}, peers_, metrics_.registry()),
      connection_services_(make_connection_services()), listen_(settings.listen),
      link_listen_(settings.link_listen), admin_listen_(settings.admin_listen),
      peer_addresses_(settings.peers),
      request_prefix_(settings.host.str() + "-" + std::to_string(start_) + "-")
{
    connection_services_.max_body_bytes = settings.max_body_bytes;
    connection_services_.request_timeout = settings.request_timeout;
    for (std::uint32_t i = 0; i < settings.traffic_threads; ++i) {
        traffic_.push_back(std::make_unique<traffic_thread>(connection_services_));
    }
    if (settings.trace_endpoint) {
        spans_ = std::make_unique<telemetry::span_exporter>(
            control.get_executor(), to_tcp_endpoint(*settings.trace_endpoint),
            telemetry::trace_resource{"snipespar-entry", settings.host.str(),
                                      settings.failure_domain.str()},
            metrics_.registry());
        telemetry::spawn_task(control, log_, "span_exporter", spans_->run());
    }
    peers_.on_presence([this](const incarnation& peer, bool present) {
        metrics_.peer_links.add(present ? 1 : -1);
        states_.update("peer", peer.host.str(), present ? "linked" : "lost");
        if (present) {
            peers_.send(peer, suspects_topic, encode_suspects());
        }
    });
    peers_.on_message(suspects_topic, [this](const incarnation&, const std::string& payload) {
        merge_suspects(payload);
    });
    links_ = std::make_unique<agent_links>(traffic_.front()->context(),
                                           make_link_options(settings, start_), make_link_events());
    if (settings.platform) {
        config_ = std::make_unique<config_service>(
            control, settings, peers_,
            [this](const upstream_id& agent, const std::string& payload) {
                links_->send(agent, {config::follower_topic, payload});
            },
            [this](const std::shared_ptr<const config::snapshot>& config) { set_config(config); });
        records_ = std::make_unique<platform_records>(
            control, settings, [this] { return peers_.present(); },
            [this](const std::vector<host_id>& leaving) { chooser_.on_leaving_hosts(leaving); });
        use_claims(records_->claims());
    }
}

entry_server::~entry_server()
{
    stop();
}

// Merges a digest of requests that crash upstreams and forwards it to all agents if it has anything
// new. Returns whether the digest was well-formed.
bool entry_server::merge_suspects(const std::string& payload)
{
    const auto value = from_cbor(payload);
    if (!value.ok()) {
        return false;
    }
    const auto digest = poison::decode_suspect_digest(*value);
    if (!digest.ok()) {
        return false;
    }
    if (!suspects_.merge(*digest, steady_now()).empty()) {
        links_->broadcast({suspects_topic, payload});
    }
    return true;
}

std::string entry_server::encode_suspects() const
{
    return to_cbor(encode(suspects_.digest(steady_now())));
}

absl::Status entry_server::start()
{
    std::vector<traffic_thread*> threads;
    threads.reserve(traffic_.size());
    for (const auto& thread : traffic_) {
        threads.push_back(thread.get());
    }
    if (absl::Status status = traffic_.front()->listen(listen_.ip, listen_.port, threads);
        !status.ok()) {
        return status;
    }
    if (absl::Status status = start_admin(); !status.ok()) {
        return status;
    }
    if (absl::Status status = peers_.listen(link_listen_.ip, link_listen_.port); !status.ok()) {
        return status;
    }
    budgets_.start(records_ ? records_->limits() : local_limits_.store());
    if (records_) {
        records_->start();
    }
    if (config_) {
        config_->start();
    }
    for (const auto& peer : peer_addresses_) {
        peers_.dial(peer.ip, peer.port);
    }
    for (auto* thread : threads) {
        thread->start();
    }
    report_counters();
    log_.info("started", {{"listen", listen_.str()}, {"start", start_}});
    return absl::OkStatus();
}

absl::Status entry_server::start_admin()
{
    telemetry::admin_handlers handlers;
    handlers.metrics = [this] { return metrics_.registry().exposition(); };
    handlers.ready = [this] { return readiness(); };
    handlers.status = [this] { return status_document(); };
    auto admin = telemetry::admin_server::make(
        control_.get_executor(), to_tcp_endpoint(admin_listen_), std::move(handlers), log_);
    if (admin.ok()) {
        admin_ = std::move(*admin);
    }
    return admin.status();
}

telemetry::readiness entry_server::readiness() const
{
    if (draining_.load()) {
        return {false, "draining"};
    }
    if (!access_.load()) {
        return {false, "no configuration in force"};
    }
    if (config_ && !config_->may_admit()) {
        return {false, "the configuration in force is not confirmed"};
    }
    return {true, ""};
}

std::string entry_server::status_document() const
{
    const auto access = access_.load();
    nlohmann::json upstreams = nlohmann::json::object();
    for (const auto& upstream : chooser_.view().upstreams()) {
        upstreams[upstream.id.str()] = {{"linked", upstream.linked},
                                        {"leaving", upstream.announced_leaving},
                                        {"running", upstream.report.running},
                                        {"waiting", upstream.report.waiting},
                                        {"resident", upstream.report.resident.size()}};
    }
    const nlohmann::json status{{"role", "entry"},
                                {"start", start_},
                                {"config_version", access ? access->config().version : 0},
                                {"draining", draining_.load()},
                                {"requests_in_progress", requests_in_progress_.load()},
                                {"peers", peers_.present().size()},
                                {"upstreams", std::move(upstreams)}};
    return status.dump();
}

void entry_server::report_counters()
{
    counters_timer_.expires_after(counters_interval_);
    counters_timer_.async_wait([this](const auto& error) {
        if (!error) {
            metrics_.registry().report(log_);
            suspects_.on_tick(steady_now());
            report_counters();
        }
    });
}

void entry_server::use_claims(claim_store store)
{
    claims_ = std::make_unique<claim_gate>(control_, self_, claims::claim_limits{},
                                           std::move(store), peers_);
    connection_services_.claim = [this](const planned_request& planned, auto done) {
        const route_id route(planned.need.serves);
        const auto key = claims::scoped_key(planned.run.team, route, planned.idempotency_key);
        const auto fingerprint =
            claims::request_fingerprint(planned.run.method, planned.run.path, planned.run.body);
        boost::asio::post(control_, [this, key, fingerprint, done = std::move(done)] {
            claims_->claim(key, fingerprint, done);
        });
    };
    connection_services_.finish_claim = [this](const claims::claim_nonce& nonce, run_state ran,
                                               std::optional<claims::recorded_answer> answer) {
        boost::asio::post(control_, [this, nonce, ran, answer = std::move(answer)]() mutable {
            claims_->finish(nonce, ran, std::move(answer));
        });
    };
}

void entry_server::set_config(std::shared_ptr<const config::snapshot> config)
{
    chooser_.set_config(*config);
    budgets_.set_config(*config);
    links_->set_upstreams(*config);
    links_->advertise(config->version);
    peers_.advertise(config->version);
    metrics_.config_version.set(static_cast<std::int64_t>(config->version));
    states_.update("config", config->environment, std::to_string(config->version));
    const auto access = std::make_shared<const config::access>(std::move(config));
    access_.store(access);
    for (const auto& thread : traffic_) {
        thread->check_keys(access);
    }
}

void entry_server::drain(std::function<void()> drained)
{
    drained_ = std::move(drained);
    draining_.store(true);
    states_.update("process", "entry", "draining");
    for (const auto& thread : traffic_) {
        thread->drain();
    }
    boost::asio::post(control_, [this] { finish_drain(); });
}

void entry_server::stop()
{
    for (const auto& thread : traffic_) {
        thread->stop();
    }
    links_->stop();
    budgets_.stop();
    peers_.stop();
}

connection_services entry_server::make_connection_services()
{
    connection_services services;
    services.access = [this] { return access_.load(); };
    services.is_confirmed = [this] { return !config_ || config_->may_admit(); };
    services.next_request_id = [this] { return request_prefix_ + std::to_string(++last_request_); };
    services.reserve = [this](const auto& executor, const planned_request& planned) {
        return std::make_unique<budget_reservation>(budgets_, executor, planned.run.team,
                                                    planned.budget_tokens);
    };
    services.make_session = [this](const auto& executor, const planned_request& planned) {
        return make_session(executor, planned);
    };
    services.start_span = [this](std::string_view header) { return traces_.start(header); };
    services.request_began = [this] {
        ++requests_in_progress_;
        metrics_.requests_in_progress.add(1);
    };
    services.request_ended = [this](const request_outcome& outcome) { request_ended(outcome); };
    services.draining = [this] { return draining_.load(); };
    return services;
}

session_services entry_server::make_session_services()
{
    const auto choose = [this](const upstream_need& need, const std::vector<upstream_id>& tried,
                               std::function<void(route::upstream_choice)> reply) {
        boost::asio::post(control_, [this, need, tried, reply = std::move(reply)] {
            reply(chooser_.choose(need, tried, steady_now()));
        });
    };
    const auto attempt_ended = [this](const upstream_id& upstream, attempt_outcome outcome,
                                      duration took) {
        boost::asio::post(control_, [this, upstream, outcome, took] {
            chooser_.on_attempt_ended(upstream, outcome, took, steady_now());
        });
    };
    return {choose, attempt_ended, *links_, [this] { return ++last_ticket_; }};
}

agent_link_events entry_server::make_link_events()
{
    agent_link_events events;
    events.up = [this](const upstream_id& upstream, const incarnation& agent) {
        boost::asio::post(control_, [this, upstream, agent] {
            metrics_.agent_links.add(1);
            states_.update("agent_link", upstream.str(), "up");
            links_->send(upstream, {suspects_topic, encode_suspects()});
            chooser_.on_link_up(upstream, agent);
        });
    };
    events.down = [this](const upstream_id& upstream) {
        boost::asio::post(control_, [this, upstream] {
            metrics_.agent_links.add(-1);
            states_.update("agent_link", upstream.str(), "down");
            chooser_.on_link_lost(upstream);
        });
    };
    events.reported = [this](const upstream_id& upstream, const link::upstream_report& report) {
        boost::asio::post(control_, [this, upstream, report] {
            chooser_.on_report(upstream, report, steady_now());
        });
    };
    events.message = [this](const upstream_id& upstream, const link::peer_message& message) {
        if (config_ && message.topic == config::follower_topic) {
            boost::asio::post(control_, [this, upstream, payload = message.payload] {
                config_->on_agent_message(upstream, payload);
            });
        }
        if (message.topic == suspects_topic) {
            boost::asio::post(control_, [this, payload = message.payload] {
                if (merge_suspects(payload)) {
                    peers_.broadcast(suspects_topic, payload);
                }
            });
        }
    };
    return events;
}

std::shared_ptr<request_session>
entry_server::make_session(const boost::asio::any_io_executor& executor,
                           const planned_request& planned)
{
    route::retry_budget* budget = nullptr;
    for (const auto& thread : traffic_) {
        if (boost::asio::any_io_executor(thread->context().get_executor()) == executor) {
            budget = &thread->retries();
        }
    }
    return std::make_shared<request_session>(executor, planned.facts, planned.need, planned.run,
                                             *budget, make_session_services());
}

void entry_server::record_span(const request_outcome& outcome)
{
    telemetry::span finished;
    finished.context = outcome.trace;
    finished.parent = outcome.parent;
    finished.name = "entry";
    finished.kind = telemetry::span_kind::server;
    finished.start = outcome.began_at;
    finished.end = telemetry::span::clock::now();
    finished.failed = outcome.reason != to_string(route::finish_reason::complete);
    finished.attributes = {{"request_id", outcome.request_id}, {"team", outcome.team.str()},
                           {"target", outcome.target},         {"status", outcome.status},
                           {"reason", outcome.reason},         {"ran", to_string(outcome.ran)}};
    spans_->record(std::move(finished));
}

void entry_server::request_ended(const request_outcome& outcome)
{
    metrics_.record(outcome);
    metrics_.requests_in_progress.add(-1);
    if (spans_) {
        record_span(outcome);
    }
    if (--requests_in_progress_ == 0 && draining_.load()) {
        boost::asio::post(control_, [this] { finish_drain(); });
    }
}

void entry_server::finish_drain()
{
    if (requests_in_progress_.load() == 0 && drained_) {
        std::exchange(drained_, nullptr)();
    }
}

} // namespace snipespar::entry
