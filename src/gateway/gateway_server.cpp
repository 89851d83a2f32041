#include "gateway/gateway_server.h"

#include "gateway/call_exchange.h"
#include "gateway/call_explainer.h"
#include "gateway/caller_connection.h"
#include "gateway/connect_probe.h"
#include "gateway/upstream_name.h"
#include "net/bind_status.h"
#include "net/start_number.h"
#include "net/steady_time.h"
#include "platform/adapter_version_codec.h"
#include "platform/upstream_entry_codec.h"
#include "platform/watch_position.h"
#include "platform/wire_names.h"
#include "telemetry/admin_server.h"
#include "telemetry/work_boundary.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>
#include <sys/resource.h>
#include <tuple>
#include <utility>
#include <vector>

namespace snipespar::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

// Resolution of timeouts.
constexpr auto tick_interval = milliseconds(20);
// A process that was not run for so long does not know what the others admitted meanwhile.
constexpr auto standstill_time = milliseconds(700);
// Interval of checks for idle connections and expired upstreams and peers.
constexpr auto slow_tick_interval = milliseconds(250);
// Adapters in use are reported to sidecars at this interval, new demand immediately.
constexpr auto demand_interval = milliseconds(500);
// Sidecars of engines without adapters in use get a report only every few intervals, so that they
// know this gateway: seldom in a large fleet, since each sidecar gets one from every gateway.
constexpr std::uint64_t idle_demand_rounds = 2;
constexpr std::uint64_t idle_demand_rounds_of_large_fleet = 4;
constexpr int large_fleet_gateways = 16;
// Far more than any deployment has; bounds what writers of the store can make a gateway keep.
constexpr std::size_t max_evacuated_domains = 1024;
constexpr std::size_t max_domain_name_bytes = 253;
// Minimum interval between reads of the configuration because other gateways have a newer version.
constexpr auto config_refresh_interval = milliseconds(1000);
// A response to a poll begins this long after a change at the latest, also if the store is slow.
constexpr auto lost_poll_patience = milliseconds(300);
// Requests named in the log when a forced stop cuts them off.
constexpr int max_logged_cuts = 50;
// Share of the fleet's retry budget that is divided among the gateways; the rest covers gateways
// that restart with a full budget.
constexpr double retry_budget_share = 0.6;
// Minimum interval between reads of the upstreams' entries for take-ups, which the platform
// charges.
constexpr auto registry_read_interval = milliseconds(400);
// Reads of the store from this size on are logged.
constexpr std::size_t notable_read_bytes = 64UL * 1024;
constexpr int listen_backlog = 1024;
// Pause after a connection could not be accepted.
constexpr auto accept_retry_delay = milliseconds(50);
constexpr auto accept_failure_interval = std::chrono::seconds(5);
// A host that is reached answers a connection within a few milliseconds.
constexpr auto probe_timeout = milliseconds(300);
// Slow ticks in which the fleet repeats its refusals once.
constexpr int refusal_repeat_ticks = 4;
// A gateway that was silent for so long, and for several reports, is told again.
constexpr auto min_informed_lifetime = std::chrono::seconds(2);
constexpr int informed_report_intervals = 3;
// Ranks the sidecars that keep the findings about crashes; a digest of no stream.
constexpr resume::stream_key findings_key{};
// Sidecars report twice a second.
constexpr auto refused_names_interval = std::chrono::seconds(5);

// Part of the descriptors that connections of callers may take.
constexpr double caller_descriptor_part = 0.75;

std::size_t max_caller_connections(std::uint64_t max_descriptors)
{
    rlimit limit{};
    const bool is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
    auto descriptors = is_known ? std::uint64_t{limit.rlim_cur} : max_descriptors;
    if (max_descriptors != 0) {
        descriptors = std::min(descriptors, max_descriptors);
    }
    return static_cast<std::size_t>(caller_descriptor_part * static_cast<double>(descriptors));
}

std::uint64_t seed_of(std::uint64_t given)
{
    return given != 0 ? given : std::random_device{}();
}

} // namespace

gateway_server::gateway_server(asio::io_context& io, const cli::gateway_settings& settings,
                               telemetry::logger& log)
    : io_(io), settings_(settings), start_(net::start_number()),
      context_(io.get_executor(), settings.failure_domain, start_, seed_of(settings.seed),
               settings.stop_grace, settings.memory_limit, log),
      peers_(settings.control_listen), permits_(steady_now()), acceptor_(io), accept_timer_(io),
      tick_timer_(io), datagrams_(io.get_executor()),
      watch_timings_(make_watch_timings({.recovery = settings.store_recovery_bound,
                                         .leave = settings.leave_bound,
                                         .version = settings.version_bound})),
      config_watch_(make_watch(
          platform::wire::config_kind, {watch_timings_.config, platform::content_form::text},
          &gateway_server::on_config_listed, &gateway_server::on_config_changed)),
      upstream_watch_(make_watch(platform::wire::upstream_kind, {watch_timings_.upstreams},
                                 &gateway_server::on_upstreams_listed,
                                 &gateway_server::on_upstream_changed)),
      version_watch_(make_watch(platform::wire::version_kind, {watch_timings_.versions},
                                &gateway_server::on_versions_listed,
                                &gateway_server::on_version_changed)),
      evacuation_watch_(make_watch(platform::wire::evacuation_kind, {watch_timings_.evacuations},
                                   &gateway_server::on_evacuations_listed,
                                   &gateway_server::on_evacuation_changed)),
      max_connections_(max_caller_connections(settings.max_descriptors))
{
    context_.send_demand = [this](const upstream_id& upstream) { queue_demand(upstream); };
    context_.host = settings.host.str();
    context_.versions.set_grace(watch_timings_.version_grace);
    context_.send_to_sidecar = [this](const upstream_id& upstream,
                                      const control::message& content) {
        if (const auto* state = context_.upstreams.find(upstream)) {
            datagrams_.send({state->entry.address.ip, settings_.control_listen.port},
                            control::encode(content));
        }
    };
    context_.ask_permit = [this](const auto& request) { return ask_permit(request); };
    context_.report_silent_issuer = [this](const upstream_id& upstream) {
        permits_.on_silence(upstream, peers_, steady_now());
    };
    context_.record_origin = [this](const auto& key, const auto& origin) {
        update_origin_holders();
        const auto now = steady_now();
        const auto is_usable = [&](const resume::origin_holder& holder) {
            return is_holder_usable(holder, now);
        };
        perform(origins_.on_began(key, origin, is_usable, now));
    };
    context_.find_origin = [this](std::uint64_t number, const auto& key) {
        update_origin_holders();
        perform(origins_.look_up(number, key, steady_now()));
    };
    context_.cancel_origin_lookup = [this](std::uint64_t number) { origins_.cancel(number); };
    context_.read_registry = [this] {
        const auto now = steady_now();
        if (now - registry_asked_at_ >= registry_read_interval) {
            registry_asked_at_ = now;
            upstream_watch_.read_again({});
        }
    };
    context_.cut_oversized_answers = [this] { cut_oversized_answers(); };
    context_.report_upstream_ended = [this](const upstream_id& upstream) {
        on_upstream_ended(upstream);
    };
    context_.report_upstream_unreachable = [this](const upstream_id& upstream) {
        on_upstream_unreachable(upstream);
    };
}

gateway_server::~gateway_server() = default;

platform::object_watch gateway_server::make_watch(
    const std::string& kind, platform::object_watch_options options,
    void (gateway_server::*listed)(const std::vector<platform::watched_object>&,
                                   platform::list_extent),
    void (gateway_server::*changed)(const platform::watched_object&))
{
    return platform::object_watch(
        io_.get_executor(), settings_.platform, kind, options, context_.random(),
        {[this, listed](const auto& objects, auto extent) { (this->*listed)(objects, extent); },
         [this, kind](const std::string& reason) {
             context_.log.warning("list_cut", {{"kind", kind}, {"reason", reason}});
         },
         [this, changed](const auto& object) { (this->*changed)(object); },
         [this, kind](std::uint64_t era) { on_restored(kind, era); },
         [this, kind](std::uint64_t era) {
             context_.log.warning("store_era_doubtful", {{"kind", kind}, {"era", era}});
         },
         [this, kind](const std::string& name, const std::string& reason) {
             on_unreadable(kind, name, reason);
         },
         [this, kind](bool is_reached, const std::string& reason) {
             on_contact(kind, is_reached, reason);
         },
         [this, kind](time_point asked_at) {
             if (kind == platform::wire::upstream_kind) {
                 context_.upstreams.on_registry_read(asked_at);
             }
         },
         [this, kind](const platform::store_read& read) { on_read_ended(kind, read); }});
}

// The listener comes last, as the kernel accepts callers from then on.
absl::Status gateway_server::start()
{
    if (auto status = listen_for_admins(); !status.ok()) {
        return status;
    }
    if (auto status = open_datagrams(); !status.ok()) {
        return status;
    }
    if (auto status = listen(); !status.ok()) {
        return status;
    }
    for (auto* watch : watches()) {
        watch->start();
    }
    accept();
    tick();
    context_.log.info("started", {{"role", "gateway"},
                                  {"host", settings_.host.str()},
                                  {"failure_domain", settings_.failure_domain.str()},
                                  {"listen", settings_.listen.str()},
                                  {"platform", settings_.platform.str()},
                                  {"start", start_}});
    return absl::OkStatus();
}

absl::Status gateway_server::listen_for_admins()
{
    if (admin_ != nullptr) {
        return absl::OkStatus();
    }
    telemetry::admin_handlers handlers{
        [this] { return context_.metrics.registry.exposition(); },
        [this] { return readiness(); },
        [this] { return this->status(); },
        [this](std::string_view query) { return explain(query); },
    };
    boost::system::error_code error;
    const auto address = asio::ip::make_address(settings_.admin_listen.ip, error);
    auto admin = telemetry::admin_server::make(io_.get_executor(),
                                               tcp::endpoint(address, settings_.admin_listen.port),
                                               std::move(handlers), context_.log);
    if (!admin.ok()) {
        return admin.status();
    }
    admin_ = *std::move(admin);
    return absl::OkStatus();
}

absl::Status gateway_server::open_datagrams()
{
    if (datagrams_.is_open()) {
        return absl::OkStatus();
    }
    return datagrams_.open(settings_.control_listen, [this](const auto& content, const auto& from) {
        telemetry::contain(context_.log, "message", from.str(), [&] { on_message(content, from); });
    });
}

absl::Status gateway_server::listen()
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(settings_.listen.ip, error);
    const tcp::endpoint local(address, settings_.listen.port);
    if (!error) {
        std::ignore = acceptor_.open(local.protocol(), error);
    }
    if (!error) {
        std::ignore = acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        std::ignore = acceptor_.bind(local, error);
    }
    if (!error) {
        std::ignore = acceptor_.listen(listen_backlog, error);
    }
    if (error) {
        boost::system::error_code ignored;
        std::ignore = acceptor_.close(ignored);
    }
    return net::bind_status(settings_.listen.str(), error);
}

void gateway_server::accept()
{
    acceptor_.async_accept([this](const auto& error, tcp::socket socket) {
        // Accepted just before the listener was closed, perhaps.
        if (!error) {
            telemetry::contain(context_.log, "connection", "new",
                               [&] { add_connection(std::move(socket)); });
        }
        if (!acceptor_.is_open()) {
            return;
        }
        if (!error) {
            return accept();
        }
        accept_later(error);
    });
}

// Without free descriptors the next attempt would fail at once.
void gateway_server::accept_later(const boost::system::error_code& error)
{
    if (const auto now = steady_now(); now - accept_failure_logged_at_ >= accept_failure_interval) {
        accept_failure_logged_at_ = now;
        context_.log.warning("accept_failed",
                             {{"reason", error.message()}, {"connections", connections_.size()}});
    }
    accept_timer_.expires_after(accept_retry_delay);
    accept_timer_.async_wait([this](const auto& wait_error) {
        if (!wait_error && acceptor_.is_open()) {
            accept();
        }
    });
}

void gateway_server::add_connection(tcp::socket socket)
{
    if (connections_.size() >= max_connections_) {
        close_longest_idle();
    }
    const auto connection = std::make_shared<caller_connection>(std::move(socket), context_);
    connections_.push_back(connection);
    connection->start();
}

// Descriptors are left for upstreams, the store and admins, however many callers keep connections.
void gateway_server::close_longest_idle()
{
    std::erase_if(connections_, [](const auto& item) {
        const auto connection = item.lock();
        return connection == nullptr || connection->is_closed();
    });
    if (connections_.size() < max_connections_) {
        return;
    }
    const auto now = steady_now();
    std::shared_ptr<caller_connection> longest;
    time_point since = now;
    for (const auto& item : connections_) {
        const auto connection = item.lock();
        const auto idle_since = connection->idle_since();
        if (idle_since && (longest == nullptr || *idle_since < since)) {
            longest = connection;
            since = *idle_since;
        }
    }
    if (now - idle_closes_logged_at_ >= accept_failure_interval) {
        idle_closes_logged_at_ = now;
        context_.log.warning("too_many_callers", {{"connections", connections_.size()},
                                                  {"idle_closed", longest != nullptr}});
    }
    if (longest != nullptr) {
        longest->close_for_descriptor();
    }
}

// Closing the listener resets the connections that the kernel has established and nobody has
// accepted, so these are accepted first.
void gateway_server::close_listener()
{
    boost::system::error_code error;
    std::ignore = acceptor_.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(io_);
        std::ignore = acceptor_.accept(socket, error);
        if (!error) {
            add_connection(std::move(socket));
        }
    }
    if (error != asio::error::would_block && error != asio::error::try_again) {
        context_.log.warning("accept_failed", {{"reason", error.message()}});
    }
    std::ignore = acceptor_.close(error);
}

void gateway_server::take_stop_step(time_point now)
{
    std::erase_if(connections_, [](const auto& item) {
        const auto connection = item.lock();
        return connection == nullptr || connection->is_closed();
    });
    const stop_progress progress{static_cast<int>(context_.exchanges.size()),
                                 static_cast<int>(connections_.size())};
    switch (context_.stop.next(progress, now)) {
    case stop_step::serve:
        return;
    case stop_step::close_listener:
        return close_listener();
    case stop_step::end_calls:
        return end_calls();
    case stop_step::exit:
        context_.log.info("stopped", {{"role", "gateway"}, {"forced", false}});
        std::exchange(drained_, {})();
    }
}

// Nothing more can be waited for: each open request learns what is known of it.
void gateway_server::end_calls()
{
    log_unfinished();
    const auto active = context_.exchanges;
    for (const auto& exchange : active) {
        contain_exchange(*exchange, [&] { exchange->end_for_stop(); });
    }
    for (const auto& item : connections_) {
        if (const auto connection = item.lock()) {
            connection->end_for_stop();
        }
    }
}

void gateway_server::log_unfinished() const
{
    int logged = 0;
    for (const auto& exchange : context_.exchanges) {
        if (++logged > max_logged_cuts) {
            break;
        }
        exchange->log_cut();
    }
    std::size_t unsent_bytes = 0;
    for (const auto& item : connections_) {
        const auto connection = item.lock();
        unsent_bytes += connection == nullptr ? 0 : connection->unsent_bytes();
    }
    context_.log.warning("stop_cuts", {{"calls", context_.exchanges.size()},
                                       {"connections", connections_.size()},
                                       {"unsent_bytes", unsent_bytes}});
}

void gateway_server::tick()
{
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const auto& error) {
        if (!error) {
            tick();
        }
    });
    const auto now = steady_now();
    if (last_tick_at_ && now - *last_tick_at_ > standstill_time) {
        context_.teams.on_resumed(now);
        context_.upstreams.on_standstill(now);
        context_.read_registry();
        context_.log.warning(
            "resumed_after_standstill",
            {{"ms", std::chrono::duration_cast<milliseconds>(now - *last_tick_at_).count()}});
    }
    last_tick_at_ = now;
    context_.arrivals.on_tick(now);
    perform(origins_.on_tick(now));
    const auto active = context_.exchanges;
    for (const auto& exchange : active) {
        contain_exchange(*exchange, [&] { exchange->on_tick(now); });
    }
    if (now - slow_tick_at_ >= slow_tick_interval) {
        slow_tick_at_ = now;
        telemetry::contain(context_.log, "tick", "slow", [&] { slow_tick(now); });
    }
    if (drained_) {
        take_stop_step(now);
    }
}

// A fault in one exchange ends that exchange only.
void gateway_server::contain_exchange(call_exchange& exchange, const std::function<void()>& action)
{
    telemetry::contain(context_.log, "exchange", exchange.request_id(), action, [&] {
        telemetry::contain(
            context_.log, "exchange", exchange.request_id(), [&] { exchange.abort(); },
            [&] { exchange.drop(); });
    });
}

void gateway_server::cut_oversized_answers()
{
    while (context_.answer_memory->is_scarce()) {
        std::shared_ptr<call_exchange> largest;
        for (const auto& exchange : context_.exchanges) {
            if (exchange->oversized_bytes() >
                (largest == nullptr ? 0 : largest->oversized_bytes())) {
                largest = exchange;
            }
        }
        if (largest == nullptr) {
            return;
        }
        contain_exchange(*largest, [&] { largest->cut_oversized_answer(); });
    }
}

void gateway_server::slow_tick(time_point now)
{
    for (auto item = connections_.begin(); item != connections_.end();) {
        const auto connection = item->lock();
        if (connection == nullptr || connection->is_closed()) {
            item = connections_.erase(item);
            continue;
        }
        connection->on_tick(now);
        if (context_.answer_memory->is_scarce()) {
            connection->close_if_not_reading(now);
        }
        if (context_.stop.closes_idle_connections(now)) {
            connection->close_if_idle(now);
        }
        ++item;
    }
    context_.channels.on_tick(now);
    context_.upstreams.on_tick(now);
    context_.popularity.on_tick(now);
    context_.selector.forecaster().on_tick(now);
    context_.teams.on_tick(now);
    if (limit_share_ != context_.teams.share()) {
        limit_share_ = context_.teams.share();
        context_.log.info("limit_share_changed", {{"share", limit_share_}});
    }
    peers_.on_tick(now);
    if (context_.gateways != peers_.count()) {
        context_.gateways = peers_.count();
        context_.log.info("gateways_changed", {{"count", context_.gateways}});
        update_retry_budgets();
    }
    if (context_.config != nullptr && has_upstreams_ && now - demand_sent_at_ >= demand_interval) {
        demand_sent_at_ = now;
        ++demand_round_;
        const auto idle_rounds = context_.gateways < large_fleet_gateways
                                     ? idle_demand_rounds
                                     : idle_demand_rounds_of_large_fleet;
        for (const auto& [id, state] : context_.upstreams.all()) {
            const bool has_uses =
                std::any_of(state.adapters.begin(), state.adapters.end(),
                            [&](const auto& item) { return item.second.has_news(now); });
            if (has_uses || !state.status || demand_round_ % idle_rounds == 0) {
                send_demand(id);
            }
        }
    }
    send_usage(now);
    context_.crashes.on_tick(now);
    permits_.on_tick(now);
    origins_.drop_expired(now);
    const auto informed_lifetime = std::max<duration>(
        min_informed_lifetime,
        informed_report_intervals * usage_reporter::idle_interval(context_.gateways));
    new_peers_.on_tick(informed_lifetime, now);
    announce(context_.crashes.next_announcement(now));
    // About one of all gateways in a second repeats what is refused, for those that missed it.
    std::uniform_real_distribution<double> draw(0, 1);
    if (!context_.crashes.is_empty() &&
        draw(context_.random) * refusal_repeat_ticks * context_.gateways < 1) {
        announce(context_.crashes.refused_findings(now));
    }
}

void gateway_server::drain(std::function<void()> done)
{
    const auto now = steady_now();
    context_.is_draining = true;
    context_.stop.begin(now);
    drained_ = std::move(done);
    context_.log.info("draining", {{"in_flight", context_.exchanges.size()}});
    usage_reporter_.expedite();
    send_usage(now);
}

telemetry::readiness gateway_server::readiness() const
{
    if (context_.is_draining) {
        return {false, "draining"};
    }
    if (context_.config == nullptr) {
        return {false, "no configuration yet"};
    }
    if (!has_upstreams_) {
        return {false, "upstreams not known yet"};
    }
    return {true, {}};
}

std::string gateway_server::status() const
{
    nlohmann::json upstreams = nlohmann::json::array();
    for (const auto& [id, state] : context_.upstreams.all()) {
        upstreams.push_back({{"id", id.str()},
                             {"service", state.entry.service},
                             {"address", state.entry.address.str()},
                             {"software", state.entry.software},
                             {"draining", state.entry.is_draining || state.is_leaving},
                             {"evacuated", state.is_evacuated},
                             {"in_flight", state.in_flight},
                             {"failure_rate", state.failure_rate}});
    }
    const nlohmann::json value{
        {"config", context_.config == nullptr ? 0 : context_.config->version()},
        {"gateways", context_.gateways},
        {"limit_share", limit_share_},
        {"in_flight", context_.exchanges.size()},
        {"request_bytes", context_.request_memory->used()},
        {"answer_bytes", context_.answer_memory->used()},
        {"upstreams", upstreams}};
    return value.dump();
}

telemetry::query_answer gateway_server::explain(std::string_view query) const
{
    const call_explainer explainer(settings_.host.str(),
                                   {context_.config.get(), context_.upstreams, context_.selector,
                                    context_.popularity, context_.versions, context_.gateways,
                                    context_.is_draining});
    return explainer.answer(query, steady_now());
}

void gateway_server::on_config_listed(const std::vector<platform::watched_object>& objects,
                                      platform::list_extent /*extent*/)
{
    for (const auto& object : objects) {
        on_config_changed(object);
    }
}

void gateway_server::on_config_changed(const platform::watched_object& object)
{
    if (object.is_removed) {
        return;
    }
    if (object.name != platform::wire::config_name) {
        context_.log.warning("config_rejected",
                             {{"cause", "not the operator's object"}, {"name", object.name}});
        return;
    }
    unread_config_ = object.text;
    if (!std::exchange(is_reading_config_, true)) {
        asio::post(io_, [this] { read_config(); });
    }
}

// Takes one step, and another one after the events that have come meanwhile.
void gateway_server::read_config()
{
    std::optional<platform::config_reader::result> read;
    telemetry::contain(
        context_.log, "config", "main",
        [&] {
            if (!config_reader_.is_reading()) {
                config_read_began_at_ = steady_now();
                config_reader_.begin(*std::exchange(unread_config_, std::nullopt));
            }
            read = config_reader_.read_on();
        },
        [&] { config_reader_.cancel(); });
    if (read && read->ok()) {
        use_config(**std::move(read));
    }
    else if (read && !absl::IsAlreadyExists(read->status())) {
        context_.log.warning("config_rejected", {{"cause", std::string(read->status().message())}});
    }
    is_reading_config_ = config_reader_.is_reading() || unread_config_.has_value();
    if (is_reading_config_) {
        asio::post(io_, [this] { read_config(); });
    }
}

void gateway_server::use_config(std::shared_ptr<const fleet_config> config)
{
    const auto now = steady_now();
    const auto known = context_.config == nullptr ? 0 : context_.config->version();
    if (context_.config == nullptr) {
        greet_sidecars();
    }
    context_.config = std::move(config);
    context_.metrics.config_version.set(static_cast<std::int64_t>(context_.config->version()));
    context_.teams.set_limits(*context_.config, now);
    update_retry_budgets();
    context_.log.info(
        "config_accepted",
        {{"version", context_.config->version()},
         {"was", known},
         {"routes", context_.config->content().routes.size()},
         {"read_ms",
          std::chrono::duration_cast<milliseconds>(now - config_read_began_at_).count()}});
}

// Makes the first demand messages due, which sidecars answer with their reports.
void gateway_server::greet_sidecars()
{
    demand_sent_at_ = {};
    slow_tick_at_ = {};
}

void gateway_server::on_upstreams_listed(const std::vector<platform::watched_object>& objects,
                                         platform::list_extent extent)
{
    std::vector<upstream_entry> entries;
    for (const auto& object : objects) {
        auto entry = platform::decode_upstream_entry(object.name, object.content);
        if (entry.ok()) {
            entries.push_back(*std::move(entry));
        }
        else {
            context_.log.warning("upstream_rejected",
                                 {{"cause", std::string(entry.status().message())}});
        }
    }
    if (extent == platform::list_extent::whole) {
        context_.upstreams.replace(entries, steady_now());
    }
    else {
        for (const auto& entry : entries) {
            context_.upstreams.update(entry, steady_now());
        }
    }
    if (!std::exchange(has_upstreams_, true)) {
        greet_sidecars();
    }
    context_.log.info("upstreams_listed", {{"count", entries.size()}});
}

void gateway_server::on_upstream_changed(const platform::watched_object& object)
{
    const auto now = steady_now();
    const upstream_id id(object.name);
    if (object.is_removed) {
        if (!check_upstream_name(object.name).ok()) {
            return;
        }
        if (context_.crashes.on_upstream_unreachable(id, now)) {
            on_crash(id, now);
        }
        context_.upstreams.remove(id, now);
        context_.log.info("upstream_gone", {{"upstream", object.name}});
        return;
    }
    const auto entry = platform::decode_upstream_entry(object.name, object.content);
    if (!entry.ok()) {
        context_.upstreams.remove(id, now);
        context_.log.warning("upstream_rejected",
                             {{"cause", std::string(entry.status().message())}});
        return;
    }
    const auto* known = context_.upstreams.find(id);
    if (known == nullptr || known->entry != *entry || known->removal_at) {
        context_.log.info("upstream_changed", {{"upstream", object.name},
                                               {"service", entry->service},
                                               {"address", entry->address.str()},
                                               {"software", entry->software},
                                               {"draining", entry->is_draining}});
    }
    if (known != nullptr && known->entry.process_start_ms != entry->process_start_ms) {
        on_upstream_ended(id);
    }
    context_.upstreams.update(*entry, now);
}

void gateway_server::on_evacuations_listed(const std::vector<platform::watched_object>& objects,
                                           platform::list_extent extent)
{
    auto domains = extent == platform::list_extent::whole ? std::set<failure_domain_id>()
                                                          : context_.upstreams.evacuated();
    for (const auto& object : objects) {
        domains.insert(failure_domain_id(object.name));
    }
    evacuate(std::move(domains));
}

void gateway_server::on_evacuation_changed(const platform::watched_object& object)
{
    auto domains = context_.upstreams.evacuated();
    if (object.is_removed) {
        domains.erase(failure_domain_id(object.name));
    }
    else {
        domains.insert(failure_domain_id(object.name));
    }
    evacuate(std::move(domains));
}

void gateway_server::evacuate(std::set<failure_domain_id> domains)
{
    std::erase_if(domains,
                  [](const auto& domain) { return domain.str().size() > max_domain_name_bytes; });
    if (domains.size() > max_evacuated_domains) {
        context_.log.warning("evacuations_rejected", {{"count", domains.size()}});
        return;
    }
    const auto known = context_.upstreams.evacuated();
    for (const auto& domain : domains) {
        if (!known.contains(domain)) {
            context_.log.warning("domain_evacuated", {{"failure_domain", domain.str()}});
        }
    }
    for (const auto& domain : known) {
        if (!domains.contains(domain)) {
            context_.log.info("domain_returned", {{"failure_domain", domain.str()}});
        }
    }
    context_.metrics.evacuated_domains.set(static_cast<std::int64_t>(domains.size()));
    evacuation_news_.on_read(domains, steady_now());
    context_.upstreams.set_evacuated(std::move(domains), steady_now());
}

std::vector<platform::object_watch*> gateway_server::watches()
{
    std::vector<platform::object_watch*> running{&config_watch_, &upstream_watch_, &version_watch_};
    if (settings_.evacuation_bound > duration{}) {
        running.push_back(&evacuation_watch_);
    }
    return running;
}

void gateway_server::on_unreadable(const std::string& kind, const std::string& name,
                                   const std::string& reason)
{
    context_.metrics.unreadable_objects.add();
    context_.log.warning("object_unreadable", {{"kind", kind}, {"name", name}, {"reason", reason}});
}

void gateway_server::on_versions_listed(const std::vector<platform::watched_object>& objects,
                                        platform::list_extent /*extent*/)
{
    for (const auto& object : objects) {
        on_version_changed(object);
    }
}

void gateway_server::on_version_changed(const platform::watched_object& object)
{
    if (object.is_removed) {
        return;
    }
    const auto announced = platform::decode_adapter_version(object.content);
    if (!announced.ok()) {
        context_.log.warning("version_rejected",
                             {{"cause", std::string(announced.status().message())}});
        return;
    }
    if (context_.versions.announce(announced->model + "/" + announced->adapter, announced->version,
                                   steady_now())) {
        context_.log.info("version_announced", {{"model", announced->model},
                                                {"adapter", announced->adapter},
                                                {"version", announced->version}});
    }
}

void gateway_server::on_contact(const std::string& kind, bool is_reached, const std::string& reason)
{
    if (is_reached) {
        context_.log.info("platform_reached", {{"kind", kind}});
        if (kind == platform::wire::upstream_kind) {
            context_.upstreams.on_registry_recovered(steady_now());
            if (std::exchange(is_registry_unreachable_, false)) {
                // Polls of the outage may be lost.
                for (auto* watch : watches()) {
                    if (watch != &upstream_watch_) {
                        watch->read_again({});
                    }
                }
            }
        }
    }
    else {
        context_.log.warning("platform_lost", {{"kind", kind}, {"reason", reason}});
        if (kind == platform::wire::upstream_kind) {
            context_.upstreams.on_registry_lost();
        }
        is_registry_unreachable_ =
            is_registry_unreachable_ || kind == platform::wire::upstream_kind;
    }
}

// Polls of the usual kind and size are only counted, as there are several a second.
void gateway_server::on_read_ended(const std::string& kind, const platform::store_read& read)
{
    context_.metrics.store_reads.add();
    if (read.outcome == platform::read_outcome::superseded) {
        context_.metrics.store_reads_given_up.add();
    }
    if (read.outcome == platform::read_outcome::failed) {
        context_.metrics.store_reads_failed.add();
    }
    const bool is_usual = read.outcome == platform::read_outcome::used &&
                          read.kind != platform::read_kind::list && read.bytes < notable_read_bytes;
    if (is_usual) {
        return;
    }
    const auto in_ms = [](duration time) {
        return std::chrono::duration_cast<milliseconds>(time).count();
    };
    context_.log.info("store_read",
                      {{"kind", kind},
                       {"read", std::string(to_string(read.kind))},
                       {"cause", std::string(to_string(read.cause))},
                       {"outcome", std::string(to_string(read.outcome))},
                       {"bytes", read.bytes},
                       {"transfer_ms", in_ms(read.transfer)},
                       {"processing_ms", in_ms(read.processing)},
                       {"reason", read.error},
                       {"config", context_.config == nullptr ? 0 : context_.config->version()}});
}

// The first watch that notices a restored store makes the others list at once, as their polls may
// wait for revisions that are assigned again.
void gateway_server::on_restored(const std::string& kind, std::uint64_t era)
{
    if (era <= store_era_ && !platform::watch_position::is_doubtful(store_era_, era)) {
        return;
    }
    store_era_ = era;
    context_.log.warning("store_restored", {{"kind", kind}, {"era", era}});
    context_.upstreams.on_registry_restored(steady_now());
    for (auto* watch : watches()) {
        if (watch->kind() != kind) {
            watch->list_again(era);
        }
    }
}

void gateway_server::on_message(const control::message& content, const cli::endpoint& from)
{
    if (const auto* report = std::get_if<control::sidecar_report>(&content)) {
        on_report(*report, from);
    }
    else if (const auto* heartbeat = std::get_if<control::sidecar_heartbeat>(&content)) {
        context_.upstreams.on_heartbeat(*heartbeat, steady_now());
    }
    else if (const auto* answer = std::get_if<control::admission_answer>(&content)) {
        const auto asked = context_.admissions.find(answer->call);
        const auto exchange = asked == context_.admissions.end() ? nullptr : asked->second.lock();
        if (exchange != nullptr) {
            exchange->on_admission(*answer);
        }
    }
    else if (const auto* findings = std::get_if<control::crash_findings>(&content)) {
        context_.crashes.merge(findings->suspects, steady_now());
    }
    else if (const auto* usage = std::get_if<control::gateway_usage>(&content)) {
        on_usage(*usage, from);
    }
    else if (const auto* request = std::get_if<control::permit_request>(&content)) {
        datagrams_.send(from, control::encode(permits_.on_request(
                                  *request, peers_, context_.is_draining, steady_now())));
    }
    else if (const auto* permit = std::get_if<control::permit_answer>(&content)) {
        on_permit_answer(*permit);
    }
    else if (const auto* record = std::get_if<control::origin_record>(&content)) {
        origins_.on_record(*record, steady_now());
    }
    else if (const auto* question = std::get_if<control::origin_question>(&content)) {
        datagrams_.send(from, control::encode(origins_.on_question(*question, steady_now())));
    }
    else if (const auto* origin = std::get_if<control::origin_answer>(&content)) {
        perform(origins_.on_answer(*origin, from, steady_now()));
    }
}

std::optional<control::permit_answer>
gateway_server::ask_permit(const control::permit_request& request)
{
    const auto asked = permits_.ask(request, peers_, context_.is_draining, steady_now());
    if (const auto* question = std::get_if<permit_question>(&asked)) {
        datagrams_.send(question->issuer, control::encode(question->content));
        return std::nullopt;
    }
    return std::get<control::permit_answer>(asked);
}

void gateway_server::on_permit_answer(const control::permit_answer& answer)
{
    const auto asked = context_.permits.find(answer.call);
    const auto exchange = asked == context_.permits.end() ? nullptr : asked->second.lock();
    if (exchange != nullptr) {
        exchange->on_permit(answer);
    }
}

void gateway_server::on_report(const control::sidecar_report& report, const cli::endpoint& from)
{
    const auto now = steady_now();
    std::size_t refused = 0;
    for (const auto& gateway : report.gateways) {
        const auto colon = gateway.rfind(':');
        if (colon != std::string::npos &&
            !peers_.on_named({gateway.substr(0, colon), settings_.control_listen.port}, from.ip,
                             now)) {
            ++refused;
        }
    }
    if (refused != 0 && now - refused_names_logged_at_ >= refused_names_interval) {
        refused_names_logged_at_ = now;
        context_.log.warning(
            "gateways_refused",
            {{"sidecar", from.str()}, {"named", report.gateways.size()}, {"refused", refused}});
    }
    const auto affected = context_.upstreams.on_engine_status(report.status, now);
    if (report.status.models.empty()) {
        // The engine does not respond, or has just started.
        for (const auto& id : affected) {
            on_upstream_unreachable(id);
        }
    }
    const auto active = context_.exchanges;
    for (const auto& exchange : active) {
        for (const auto& id : affected) {
            contain_exchange(*exchange, [&] { exchange->on_engine_status(id); });
        }
    }
}

void gateway_server::on_usage(const control::gateway_usage& usage, const cli::endpoint& from)
{
    const auto now = steady_now();
    context_.teams.on_usage(usage, now);
    for (const auto& [id, process_start_ms] : usage.leaving_upstreams) {
        context_.upstreams.on_peer_saw_leaving(upstream_id(id), process_start_ms);
    }
    if (usage.is_stopping) {
        peers_.on_stopping(from);
        return;
    }
    peers_.on_seen(from, now);
    inform_new_peer(usage, from, now);
    if (evacuation_news_.should_read(usage.evacuations, now)) {
        context_.log.info("evacuations_differ", {{"peer", usage.gateway}});
        evacuation_watch_.read_again(lost_poll_patience);
    }
    const auto known = context_.config == nullptr ? 0 : context_.config->version();
    if (usage.config_version > known && now - config_refreshed_at_ > config_refresh_interval) {
        config_refreshed_at_ = now;
        context_.log.warning(
            "config_behind",
            {{"version", known}, {"peer", usage.gateway}, {"peer_version", usage.config_version}});
        config_watch_.read_again(lost_poll_patience);
    }
}

// Sends new demand to a sidecar after the current event, so that several changes share one message.
void gateway_server::queue_demand(const upstream_id& upstream)
{
    if (queued_demands_.empty()) {
        asio::post(io_, [this] {
            const auto queued = std::exchange(queued_demands_, {});
            for (const auto& id : queued) {
                send_demand(id);
            }
        });
    }
    queued_demands_.insert(upstream);
}

void gateway_server::send_demand(const upstream_id& upstream)
{
    const auto* state = context_.upstreams.find(upstream);
    if (state != nullptr && state->removal_at) {
        // Another process may run at its address already.
        return;
    }
    const auto* service = state == nullptr || context_.config == nullptr
                              ? nullptr
                              : context_.config->find_service(state->entry.service);
    if (service == nullptr || !service->engine) {
        return;
    }
    const auto now = steady_now();
    control::adapter_demand demand{
        .gateway = settings_.host.str(),
        .gateway_start = start_,
        .upstream = upstream.str(),
        .upstream_start_ms = state->entry.process_start_ms,
        .adapter_slots = service->engine->adapter_slots,
        .models = service->engine->models,
        .uses = {},
        .versions = {},
    };
    const bool counts_calls = upstream_table::counts_calls(*state, now);
    for (const auto& [name, calls] : state->adapters) {
        const auto slash = name.find('/');
        if (calls.has_news(now)) {
            // A requested replica counts as one waiting call.
            const int waiting = calls.waiting + (now < calls.requested_until ? 1 : 0);
            demand.uses.push_back(
                {name.substr(0, slash), name.substr(slash + 1), waiting, calls.running,
                 counts_calls ? calls.begun : 0,
                 counts_calls ? std::max(calls.timely_until - now, duration{}) : duration{}});
            if (const auto* announced = context_.versions.find(name)) {
                demand.versions[name] = announced->version;
            }
        }
    }
    context_.versions.add_recent(demand.versions, context_.random(), now);
    datagrams_.send({state->entry.address.ip, settings_.control_listen.port},
                    control::encode(demand));
    context_.upstreams.on_uses_stated(upstream);
}

void gateway_server::send_usage(time_point now)
{
    auto urgency = context_.teams.has_busy_team(now) ? usage_urgency::busy : usage_urgency::none;
    if (context_.teams.has_surge(usage_reporter_.stated(), context_.gateways)) {
        urgency = usage_urgency::surge;
    }
    auto stated = usage_reporter_.next(context_.teams.admitted(), urgency, context_.gateways, now);
    if (!stated) {
        return;
    }
    const control::gateway_usage usage{
        .gateway = settings_.host.str(),
        .gateway_start = start_,
        .sequence = ++usage_sequence_,
        .config_version = context_.config == nullptr ? 0 : context_.config->version(),
        .is_stopping = context_.is_draining,
        .team_tokens = std::move(stated->team_tokens),
        .leaving_upstreams = context_.upstreams.recently_leaving(now),
        .is_complete = stated->is_complete,
        .report_interval = stated->next_within,
        .evacuations = evacuation_news_.stated(),
    };
    send_to_peers(usage);
}

void gateway_server::on_upstream_ended(const upstream_id& upstream)
{
    const auto now = steady_now();
    if (context_.crashes.on_upstream_ended(upstream, now)) {
        on_crash(upstream, now);
    }
}

// A connection that is refused proves that the process has ended; one that times out does not.
void gateway_server::on_upstream_unreachable(const upstream_id& upstream)
{
    const auto now = steady_now();
    if (context_.crashes.on_upstream_unreachable(upstream, now)) {
        on_crash(upstream, now);
    }
    const auto* state = context_.upstreams.find(upstream);
    if (state != nullptr && upstream_table::is_serving(*state, now) &&
        context_.crashes.has_abandoned_runs(upstream)) {
        probe_connect(io_.get_executor(), state->entry.address, probe_timeout,
                      [this, upstream] { on_upstream_ended(upstream); });
    }
}

// Copies of the request may be on their way to other gateways, so that these are told at once.
void gateway_server::on_crash(const upstream_id& upstream, time_point now)
{
    context_.log.warning("upstream_crashed", {{"upstream", upstream.str()}});
    announce(context_.crashes.urgent_announcement(now));
}

// All gateways may be killed at one moment, so that a few sidecars keep the findings for those that
// start: the same ones for all findings, as any sidecar tells what it keeps.
void gateway_server::announce(const poison::suspect_digest& findings)
{
    if (findings.empty()) {
        return;
    }
    const control::message content = control::crash_findings{findings};
    send_to_peers(content);
    update_origin_holders();
    const auto now = steady_now();
    const auto is_usable = [&](const resume::origin_holder& holder) {
        return is_holder_usable(holder, now);
    };
    for (const auto& holder : origins_.holders().to_tell(findings_key, is_usable)) {
        datagrams_.send(holder, control::encode(content));
    }
}

bool gateway_server::is_holder_usable(const resume::origin_holder& holder, time_point now) const
{
    const auto* state = context_.upstreams.find(holder.upstream);
    return state != nullptr && upstream_table::is_serving(*state, now) &&
           !upstream_table::is_unresponsive(*state, now);
}

void gateway_server::inform_new_peer(const control::gateway_usage& usage, const cli::endpoint& from,
                                     time_point now)
{
    if (!new_peers_.should_tell(from, usage.gateway_start, peers_, now)) {
        return;
    }
    if (const auto findings = context_.crashes.refused_findings(now); !findings.empty()) {
        datagrams_.send(from, control::encode(control::crash_findings{findings}));
    }
}

// All sidecars and gateways can hold origins. Nothing is done unless the fleet has changed.
void gateway_server::update_origin_holders()
{
    const auto config = context_.config == nullptr ? 0 : context_.config->version();
    if (known_upstreams_ != context_.upstreams.membership() || known_config_ != config) {
        known_upstreams_ = context_.upstreams.membership();
        known_config_ = config;
        std::map<cli::endpoint, resume::origin_holder> sidecars;
        for (const auto& [id, state] : context_.upstreams.all()) {
            const auto* service = context_.config == nullptr
                                      ? nullptr
                                      : context_.config->find_service(state.entry.service);
            const cli::endpoint address{state.entry.address.ip, settings_.control_listen.port};
            // The entry of an earlier engine of the host may still be known.
            if (service != nullptr && service->engine &&
                (!state.removal_at || !sidecars.contains(address))) {
                sidecars.insert_or_assign(
                    address, resume::origin_holder{address, state.entry.failure_domain, id});
            }
        }
        std::vector<resume::origin_holder> holders;
        holders.reserve(sidecars.size());
        for (const auto& [address, holder] : sidecars) {
            holders.push_back(holder);
        }
        origins_.holders().set_sidecars(std::move(holders));
    }
    if (known_peers_ != peers_.membership()) {
        known_peers_ = peers_.membership();
        origins_.holders().set_gateways(peers_.all());
    }
}

void gateway_server::perform(const resume::origin_actions& actions)
{
    for (const auto& message : actions.messages) {
        datagrams_.send(message.to, control::encode(message.content));
    }
    for (const auto& result : actions.results) {
        const auto asked = context_.take_ups.find(result.number);
        const auto exchange = asked == context_.take_ups.end() ? nullptr : asked->second.lock();
        if (exchange != nullptr) {
            exchange->on_origin(result.origin);
        }
    }
}

void gateway_server::send_to_peers(const control::message& content)
{
    const auto bytes = control::encode(content);
    for (const auto& peer : peers_.contacts()) {
        datagrams_.send(peer, bytes);
    }
}

void gateway_server::update_retry_budgets()
{
    if (context_.config == nullptr) {
        return;
    }
    for (const auto& service : context_.config->content().services) {
        auto& budget = context_.retries[service.name];
        budget.set_limits(
            {.retries_per_request = settings_.retry_ratio * retry_budget_share,
             .capacity = settings_.retry_slack * retry_budget_share / context_.gateways});
    }
}

} // namespace snipespar::gateway
