#include "entry/entry_server.h"

#include "cli/entry_settings.h"
#include "config/access.h"
#include "config/snapshot.h"
#include "entry/traffic_thread.h"
#include "link/endpoint_options.h"
#include "net/start_number.h"
#include "net/steady_time.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

constexpr int heartbeats_until_dead = 3;

link::endpoint_options make_link_options(const cli::entry_settings& settings, std::uint64_t start)
{
    link::endpoint_options options;
    options.fleet_secret = settings.fleet_secret;
    options.self = {link::role::entry, {settings.host, start}};
    options.heartbeat_interval = settings.heartbeat;
    options.heartbeat_timeout = heartbeats_until_dead * settings.heartbeat;
    options.seed = settings.seed;
    return options;
}

} // namespace

entry_server::entry_server(boost::asio::io_context& control, const cli::entry_settings& settings)
    : control_(control), start_(net::start_number()),
      chooser_(settings.failure_domain, settings.seed),
      peers_(control, make_link_options(settings, start_)),
      connection_services_(make_connection_services()), listen_(settings.listen),
      link_listen_(settings.link_listen), dialled_peers_(settings.peers),
      request_prefix_(settings.host.str() + "-" + std::to_string(start_) + "-")
{
    connection_services_.max_body_bytes = settings.max_body_bytes;
    connection_services_.request_timeout = settings.request_timeout;
    for (std::uint32_t i = 0; i < settings.traffic_threads; ++i) {
        traffic_.push_back(std::make_unique<traffic_thread>(connection_services_));
    }
    links_ = std::make_unique<agent_links>(traffic_.front()->context(),
                                           make_link_options(settings, start_), make_link_events());
}

entry_server::~entry_server()
{
    stop();
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
    if (absl::Status status = peers_.listen(link_listen_.ip, link_listen_.port); !status.ok()) {
        return status;
    }
    for (const auto& peer : dialled_peers_) {
        peers_.dial(peer.ip, peer.port);
    }
    for (auto* thread : threads) {
        thread->start();
    }
    return absl::OkStatus();
}

void entry_server::set_config(std::shared_ptr<const config::snapshot> config)
{
    chooser_.set_config(*config);
    links_->set_upstreams(*config);
    links_->advertise(config->version);
    peers_.advertise(config->version);
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
    peers_.stop();
}

connection_services entry_server::make_connection_services()
{
    connection_services services;
    services.access = [this] { return access_.load(); };
    services.next_request_id = [this] { return request_prefix_ + std::to_string(++last_request_); };
    services.make_session = [this](const auto& executor, const planned_request& planned) {
        return make_session(executor, planned);
    };
    services.request_began = [this] { ++requests_in_progress_; };
    services.request_ended = [this](const planned_request&, const answer_end&) { request_ended(); };
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
        boost::asio::post(control_,
                          [this, upstream, agent] { chooser_.on_link_up(upstream, agent); });
    };
    events.down = [this](const upstream_id& upstream) {
        boost::asio::post(control_, [this, upstream] { chooser_.on_link_lost(upstream); });
    };
    events.reported = [this](const upstream_id& upstream, const link::upstream_report& report) {
        boost::asio::post(control_, [this, upstream, report] {
            chooser_.on_report(upstream, report, steady_now());
        });
    };
    events.message = [](const upstream_id&, const link::peer_message&) {};
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

void entry_server::request_ended()
{
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
