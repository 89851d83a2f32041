#include "sidecar/sidecar_server.h"

#include "base/stable_hash.h"
#include "control/message.h"
#include "gateway/upstream_name.h"
#include "net/start_number.h"
#include "net/steady_time.h"
#include "platform/engine_codec.h"
#include "sidecar/round_loop.h"
#include "sidecar/status_change.h"
#include "telemetry/admin_handlers.h"
#include "telemetry/admin_server.h"
#include "telemetry/spawn_task.h"
#include "telemetry/work_boundary.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace snipespar::sidecar {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

// The engine is polled at this interval while work is outstanding, otherwise at the longer one. The
// report is cheap, as both processes run on the same host.
constexpr auto busy_interval = milliseconds(15);
constexpr auto idle_interval = milliseconds(150);
// An unchanged status is sent again after this time, so that it does not become stale.
constexpr auto publish_interval = milliseconds(450);
// Interval of sending the list of gateways: they drop one another after 4 s, and learn of each
// other from every sidecar.
constexpr auto gateway_list_interval = milliseconds(1500);
constexpr auto report_timeout = milliseconds(400);
// The engine responds to an order within a few milliseconds on the same host. An unresolved order
// blocks further ones until the next report shows the outcome.
constexpr auto order_timeout = milliseconds(40);
// Age after which a report is stale: the engine's adapters may have changed since.
constexpr auto report_lifetime = milliseconds(1000);
// A gateway reports at least every two seconds.
constexpr auto gateway_expiry = milliseconds(5000);
// A single report may be lost while the engine is healthy.
constexpr int missed_report_limit = 2;
// Rounds that fail in a row before the sidecar is not ready.
constexpr int failed_round_limit = 3;
// Shortest time between two rounds of admission.
constexpr auto min_pace_interval = milliseconds(2);
constexpr std::size_t max_report_bytes = 1024UL * 1024;
constexpr double ms_per_s = 1000;

} // namespace

sidecar_server::sidecar_server(asio::io_context& io, const cli::sidecar_settings& settings,
                               telemetry::logger& log)
    : io_(io), settings_(settings), log_(log), start_(net::start_number()),
      planner_(settings.retention), pace_timer_(io), datagrams_(io.get_executor()),
      engine_(settings.engine.ip, settings.engine.port, max_report_bytes), poll_timer_(io),
      roster_(stable_hash(settings.engine.str()))
{
}

sidecar_server::~sidecar_server() = default;

absl::Status sidecar_server::start()
{
    if (auto status = listen_for_admins(); !status.ok()) {
        return status;
    }
    if (auto status = open_datagrams(); !status.ok()) {
        return status;
    }
    telemetry::spawn_task(
        io_, log_, "engine_reports",
        run_rounds([this] { return run_round(); }, [this] { return wait_for_round(); },
                   [] { return true; },
                   [this](const std::exception& error) { on_round_failed(error); }));
    log_.info("started", {{"role", "sidecar"},
                          {"host", settings_.host.str()},
                          {"engine", settings_.engine.str()},
                          {"start", start_}});
    return absl::OkStatus();
}

absl::Status sidecar_server::listen_for_admins()
{
    if (admin_ != nullptr) {
        return absl::OkStatus();
    }
    telemetry::admin_handlers handlers{
        [this] { return metrics_.registry.exposition(); },
        [this] { return readiness(); },
        [this] {
            return nlohmann::json{{"gateways", gateways_.size()},
                                  {"sequence", sequence_},
                                  {"origins", origins_.size()}}
                .dump();
        },
    };
    boost::system::error_code error;
    const auto address = asio::ip::make_address(settings_.admin_listen.ip, error);
    auto admin = telemetry::admin_server::make(
        io_.get_executor(), asio::ip::tcp::endpoint(address, settings_.admin_listen.port),
        std::move(handlers), log_);
    if (!admin.ok()) {
        return admin.status();
    }
    admin_ = *std::move(admin);
    return absl::OkStatus();
}

absl::Status sidecar_server::open_datagrams()
{
    if (datagrams_.is_open()) {
        return absl::OkStatus();
    }
    return datagrams_.open(settings_.control_listen, [this](const auto& content, const auto& from) {
        telemetry::contain(log_, "message", from.str(), [&] { on_message(content, from); });
    });
}

telemetry::readiness sidecar_server::readiness() const
{
    if (!is_engine_reached_) {
        return {false, "the engine does not respond"};
    }
    if (rounds_failed_ >= failed_round_limit) {
        return {false, "internal errors"};
    }
    return {true, {}};
}

asio::awaitable<void> sidecar_server::run_round()
{
    is_urgent_ = false;
    co_await read_report();
    if (published_.process_start_ms != planner_.status().process_start_ms) {
        // Gateways have to know of another process before it can serve.
        publish();
    }
    co_await give_orders();
    publish();
    rounds_failed_ = 0;
}

asio::awaitable<void> sidecar_server::wait_for_round()
{
    if (!is_urgent_) {
        poll_timer_.expires_after(
            rounds_failed_ == 0 && planner_.has_outstanding_work() ? busy_interval : idle_interval);
        co_await poll_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void sidecar_server::on_round_failed(const std::exception& error)
{
    ++rounds_failed_;
    is_urgent_ = false;
    log_.error("round_failed", {{"reason", error.what()}, {"in_a_row", rounds_failed_}});
}

asio::awaitable<void> sidecar_server::read_report()
{
    http::request<http::string_body> message{http::verb::get,
                                             std::string(platform::engine_report_path), 11};
    const auto response = co_await engine_.call(std::move(message), report_timeout);
    absl::Status status = response.status();
    if (response.ok() && response->result() != http::status::ok) {
        status = absl::UnavailableError("status " + std::to_string(response->result_int()));
    }
    if (status.ok()) {
        const auto report = platform::decode_engine_report(response->body());
        status = report.status();
        if (report.ok()) {
            reported_at_ = steady_now();
            planner_.on_report(*report, reported_at_);
            follow_prompts(*report);
            show_planner();
        }
    }
    if (!status.ok()) {
        metrics_.reports_failed.add();
    }
    reports_missed_ = status.ok() ? 0 : reports_missed_ + 1;
    if (status.ok() != is_engine_reached_) {
        is_engine_reached_ = status.ok();
        log_.info(is_engine_reached_ ? "engine_reached" : "engine_lost",
                  {{"reason", std::string(status.message())}});
    }
}

asio::awaitable<void> sidecar_server::give_orders()
{
    while (is_engine_reached_) {
        const auto order = planner_.next_order(steady_now());
        if (!order) {
            co_return;
        }
        http::request<http::string_body> message{http::verb::post,
                                                 std::string(platform::engine_order_path), 11};
        message.set(http::field::content_type, "application/json");
        if (!order->upstream.empty()) {
            message.set(platform::engine_order_upstream_field, order->upstream);
        }
        const auto body = encode(*order);
        if (!body) {
            planner_.on_order_result(*order, order_result::refused, steady_now());
            continue;
        }
        message.body() = *body;
        metrics_.orders.add();
        const auto response = co_await engine_.call(std::move(message), order_timeout);
        auto result = order_result::unknown;
        if (response.ok()) {
            switch (response->result_int()) {
            case 200:
                result = order_result::done;
                break;
            case 202:
                result = order_result::accepted;
                break;
            case 409:
                result = order_result::conflict;
                break;
            default:
                result = order_result::refused;
                break;
            }
        }
        if (result != order_result::accepted && result != order_result::done) {
            metrics_.orders_failed.add();
        }
        log_.info("order_given",
                  {{"operation", order->op == engine_order::operation::load ? "load" : "unload"},
                   {"model", order->model},
                   {"adapter", order->adapter},
                   {"version", order->version.value_or(0)},
                   {"orders_before", order->orders_before},
                   {"status", response.ok() ? std::to_string(response->result_int())
                                            : std::string(response.status().message())}});
        planner_.on_order_result(*order, result, steady_now());
        publish();
    }
}

// An order that cannot be written must not hold up the others.
std::optional<std::string> sidecar_server::encode(const engine_order& order) const
{
    std::optional<std::string> body;
    telemetry::contain(log_, "order", order.model + "/" + order.adapter,
                       [&] { body = platform::encode_order(order, settings_.host.str()); });
    return body;
}

// Counts a prompt that the engine is given.
void sidecar_server::give_prompt(std::uint64_t tokens)
{
    if (settings_.states_work && tokens > 0) {
        prompts_.on_given(tokens, steady_now());
        run_time_.on_given();
    }
}

void sidecar_server::follow_prompts(const engine_report& report)
{
    if (!settings_.states_work) {
        return;
    }
    prompts_.on_report(report.process_start_ms, report.waiting, reported_at_);
    run_time_.on_report(report.running, reported_at_);
    pacer_.on_read_speed(prompts_.tokens_per_ms());
    pacer_.on_run_time(run_time_.value());
    metrics_.run_ms.set(
        std::chrono::duration_cast<std::chrono::milliseconds>(run_time_.value()).count());
    metrics_.paced_prompt_tokens.set(std::lround(pacer_.limit().value_or(0)));
    metrics_.waiting_prompt_tokens.set(static_cast<std::int64_t>(prompts_.waiting_tokens()));
    metrics_.prompt_tokens_per_s.set(
        static_cast<std::int64_t>(prompts_.tokens_per_ms() * ms_per_s));
}

void sidecar_server::show_planner()
{
    const auto& load_time = planner_.load_time();
    metrics_.adapter_load_ms.set(std::lround(load_time.usual_s() * ms_per_s));
    metrics_.store_busy.set(load_time.is_store_busy() ? 1 : 0);
    metrics_.pending_adapters.set(planner_.pending_count());
}

// What the engine still has to do, if calls are placed by that.
gateway::engine_workload sidecar_server::workload() const
{
    if (!settings_.states_work) {
        return {};
    }
    return {prompts_.waiting_tokens(), prompts_.tokens_per_ms()};
}

void sidecar_server::on_message(const control::message& content, const cli::endpoint& from)
{
    if (const auto* demand = std::get_if<control::adapter_demand>(&content)) {
        on_demand(*demand, from);
    }
    else if (const auto* request = std::get_if<control::admission_request>(&content)) {
        on_admission(*request, from);
    }
    else if (const auto* permit = std::get_if<control::permit_request>(&content)) {
        on_permit_request(*permit, from);
    }
    else if (const auto* record = std::get_if<control::origin_record>(&content)) {
        metrics_.origins.add();
        origins_.put(record->key, record->origin, steady_now());
    }
    else if (const auto* findings = std::get_if<control::crash_findings>(&content)) {
        findings_.keep(findings->suspects, steady_now());
    }
    else if (const auto* question = std::get_if<control::origin_question>(&content)) {
        const auto origin = origins_.find(question->key, steady_now());
        datagrams_.send(
            from, control::encode(control::origin_answer{question->number, question->key, origin}));
    }
    else if (const auto* pause = std::get_if<control::stream_pause>(&content)) {
        const bool was_pacing = pacer_.is_pacing();
        pacer_.on_pause(pause->gap, pause->target, steady_now());
        if (pacer_.is_pacing() && !was_pacing) {
            log_.info("pacing_started",
                      {{"prompt_tokens", static_cast<std::uint64_t>(pacer_.limit().value_or(0))}});
            publish();
        }
    }
}

void sidecar_server::on_permit_request(const control::permit_request& request,
                                       const cli::endpoint& from)
{
    const auto answer = cold_permits_.answer(request, from.str(), steady_now());
    metrics_.cold_permits.add();
    if (!answer.is_granted) {
        metrics_.cold_permits_refused.add();
    }
    datagrams_.send(from, control::encode(answer));
}

void sidecar_server::on_admission(const control::admission_request& request,
                                  const cli::endpoint& from)
{
    const admission_ticket ticket{request.gateway, request.call};
    const auto now = steady_now();
    switch (request.intent) {
    case control::admission_request::purpose::sent:
        give_prompt(request.prompt_tokens);
        return pacer_.on_sent(request.prompt_tokens, now);
    case control::admission_request::purpose::cancel:
        pacer_.cancel(ticket);
        break;
    case control::admission_request::purpose::ask:
        asking_gateways_[request.gateway] = from;
        send_decision(pacer_.ask(ticket, request.prompt_tokens, request.urgency,
                                 {request.aim_wait, request.max_wait}, now),
                      from);
        break;
    }
    pace();
}

void sidecar_server::send_decision(const admission_decision& decision, const cli::endpoint& to)
{
    metrics_.admissions.add();
    give_prompt(decision.prompt_tokens);
    if (decision.verdict == control::admission_answer::verdict::refused) {
        metrics_.admissions_refused.add();
    }
    datagrams_.send(to, control::encode(control::admission_answer{
                            decision.ticket.call, decision.verdict, decision.wait}));
}

// Answers the calls whose turn has come, and sets the timer for the next ones.
void sidecar_server::pace()
{
    const auto now = steady_now();
    for (const auto& decision : pacer_.decide(now)) {
        const auto gateway = asking_gateways_.find(decision.ticket.gateway);
        if (gateway != asking_gateways_.end()) {
            send_decision(decision, gateway->second);
        }
    }
    const auto next = pacer_.next_decision_at(now);
    if (!next) {
        return;
    }
    pace_timer_.expires_after(std::max<duration>(*next - now, min_pace_interval));
    pace_timer_.async_wait([this](const auto& error) {
        if (!error) {
            pace();
        }
    });
}

// The demand without the name of the engine if no upstream may have that name. Orders carry it.
control::adapter_demand sidecar_server::with_sound_upstream(control::adapter_demand demand)
{
    if (demand.upstream.empty()) {
        return demand;
    }
    if (const auto name = gateway::check_upstream_name(demand.upstream); !name.ok()) {
        if (std::exchange(rejected_upstream_, demand.upstream) != demand.upstream) {
            log_.warning("upstream_rejected", {{"cause", std::string(name.message())},
                                               {"upstream", demand.upstream},
                                               {"gateway", demand.gateway}});
        }
        demand.upstream.clear();
        demand.upstream_start_ms = 0;
    }
    return demand;
}

void sidecar_server::on_demand(const control::adapter_demand& demand, const cli::endpoint& from)
{
    const auto now = steady_now();
    metrics_.demands.add();
    const bool is_new = gateways_.find(from) == gateways_.end();
    gateways_[from] = {demand.gateway, now};
    planner_.on_demand(with_sound_upstream(demand), now);
    if (auto findings = findings_.on_message(from, demand.gateway_start, now); !findings.empty()) {
        log_.info("findings_told", {{"gateway", demand.gateway}, {"count", findings.size()}});
        datagrams_.send(from, control::encode(control::crash_findings{std::move(findings)}));
    }
    if (is_new) {
        roster_.on_new(from);
        published_at_ = {};
        broadcast_.on_new_gateway();
        gateways_published_at_ = {};
        log_.info("gateway_heard", {{"gateway", demand.gateway}, {"address", from.str()}});
    }
    if (planner_.has_outstanding_work() || is_new) {
        is_urgent_ = true;
        poll_timer_.cancel();
    }
}

// Sends the engine's status to all gateways if it is due or has changed for all, and to those that
// a change concerns otherwise.
void sidecar_server::publish()
{
    const auto now = steady_now();
    std::erase_if(gateways_, [&](const auto& item) {
        return now - item.second.last_demand_at > gateway_expiry;
    });
    origins_.on_tick(now);
    findings_.on_tick(now);
    if (pacer_.waiting() == 0) {
        asking_gateways_.clear();
        // Lets an unused limit expire.
        pacer_.decide(now);
    }
    // An unresponsive engine is advertised as empty, so that calls waiting there go elsewhere.
    const bool is_lost = reports_missed_ >= missed_report_limit;
    auto status = is_lost ? gateway::engine_status{} : planner_.status();
    status.is_paced = pacer_.is_pacing();
    status.workload = is_lost ? gateway::engine_workload{} : workload();
    const auto withdrawn = withdrawn_adapters(published_, status);
    const bool has_shortage_changed = published_.is_short_of_slots != status.is_short_of_slots;
    // Where gateways state their calls, news of single adapters go to those that they concern.
    const bool is_news_for_all =
        !status.counts_calls && (!withdrawn.empty() || has_shortage_changed);
    const bool is_broadcast = is_news_for_all || concerns_all_gateways(published_, status) ||
                              now - published_at_ >= publish_interval;
    const bool has_news = status.adapters != published_.adapters ||
                          status.loading != published_.loading || has_shortage_changed;
    const bool is_known = is_lost || (is_engine_reached_ && now - reported_at_ < report_lifetime);
    if (gateways_.empty() || !is_known || (!is_broadcast && !has_news)) {
        return;
    }
    published_ = status;
    if (is_broadcast) {
        published_at_ = now;
    }
    if (is_broadcast && broadcast_.can_confirm(status, now)) {
        return send_heartbeat(status);
    }
    ++sequence_;
    if (is_broadcast) {
        broadcast_.on_sent_to_all(status, sequence_, now);
    }
    else {
        broadcast_.on_sent_to_some();
    }
    status.engine = settings_.engine.str();
    status.sidecar_start = start_;
    status.sequence = sequence_;
    control::sidecar_report report{std::move(status), {}};
    if (is_broadcast && now - gateways_published_at_ >= gateway_list_interval) {
        gateways_published_at_ = now;
        std::vector<cli::endpoint> known;
        known.reserve(gateways_.size());
        for (const auto& [gateway, heard] : gateways_) {
            known.push_back(gateway);
        }
        for (const auto& gateway : roster_.next(known)) {
            report.gateways.push_back(gateway.str());
        }
    }
    const auto bytes = control::encode(report);
    // Newly loaded adapters are reported immediately to gateways waiting for them, and to the
    // others with the next broadcast.
    auto interested = planner_.waiting_gateways();
    interested.merge(planner_.users_of(withdrawn));
    if (has_shortage_changed) {
        interested.merge(planner_.using_gateways());
    }
    for (const auto& [address, gateway] : gateways_) {
        if (is_broadcast || interested.contains(gateway.name)) {
            datagrams_.send(address, bytes);
        }
    }
}

// Confirms the last report to all gateways.
void sidecar_server::send_heartbeat(const gateway::engine_status& status)
{
    const auto bytes = control::encode(control::sidecar_heartbeat{
        .engine = settings_.engine.str(),
        .sidecar_start = start_,
        .sequence = ++sequence_,
        .report_sequence = broadcast_.sequence(),
        .running = status.running,
        .waiting = status.waiting,
        .workload = status.workload,
    });
    for (const auto& [address, gateway] : gateways_) {
        datagrams_.send(address, bytes);
    }
}

} // namespace snipespar::sidecar
