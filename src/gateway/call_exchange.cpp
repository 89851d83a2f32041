#include "gateway/call_exchange.h"

#include "base/stable_hash.h"
#include "base/text_view.h"
#include "gateway/attempt_header.h"
#include "gateway/call_deadline.h"
#include "gateway/caller_connection.h"
#include "gateway/channel_pool.h"
#include "gateway/connect_probe.h"
#include "gateway/fleet_config.h"
#include "gateway/gateway_context.h"
#include "gateway/refusal.h"
#include "gateway/upstream_channel.h"
#include "net/steady_time.h"
#include "platform/call_codec.h"
#include "resume/origin_directory.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;

// With less time left no upstream can complete any work.
constexpr auto min_useful_time = milliseconds(20);
constexpr auto connect_timeout = milliseconds(300);
// Total time a call waits for its adapter. A load takes 250 ms, and longer while many are in
// flight. Loading the adapter on a second engine as well would slow down all loads, so that is done
// only when the first engine has become unavailable.
constexpr auto max_load_wait = milliseconds(2500);
// Waits for an adapter after which a call is refused.
constexpr int max_waits = 4;
// Sends allowed beyond the route's attempts when upstreams refused to run the request.
constexpr int max_refused_sends = 2;
// An upstream that sends nothing for this multiple of the target latency has most likely failed.
constexpr int stall_factor = 3;
constexpr auto min_first_event_stall = milliseconds(1500);
constexpr auto min_gap_stall = milliseconds(900);
// Interval of searches for an upstream that can take over from a silent one.
constexpr auto search_interval = milliseconds(100);
// Interval at which a broken stream tries to go on.
constexpr auto resume_interval = milliseconds(50);
// Callers leave a stream after a gap of this length, this multiple of the target latency or of the
// target gap, whichever is longest.
constexpr auto min_caller_patience = milliseconds(2000);
constexpr int patience_latency_factor = 4;
constexpr int patience_gap_factor = 8;
// Divisor of the time limit: a repeatable request leaves a stalled upstream while half of its time
// remains.
constexpr int stall_limit_divisor = 2;
// Refused permits after which a call goes only where none is needed.
constexpr int max_refused_permits = 4;
// A cold engine whose sidecar does not answer gets no calls for half of the interval between
// reports of a sound one.
constexpr auto silent_sidecar_pause = milliseconds(250);
// Callers refused because of load retry after a delay drawn uniformly from this range.
constexpr auto min_retry_delay = milliseconds(150);
constexpr auto max_retry_delay = milliseconds(600);
// A call waits for the admission of its prompt for at most this part of its time, and for this
// multiple of the target latency.
constexpr int admission_limit_divisor = 2;
constexpr int admission_target_factor = 3;
// Part of the target latency that the engine needs to read a prompt.
constexpr int read_time_divisor = 4;
constexpr auto min_admission_wait = milliseconds(50);
// Pauses of an engine's streams are reported at most this often, as all of them pause together.
constexpr auto pause_report_interval = milliseconds(200);
constexpr int route_urgency_levels = 3;
constexpr int lowest_urgency = 9;
// Largest response that is kept until it is complete, so that another upstream may still answer.
constexpr std::size_t max_buffered_bytes = 16UL * 1024 * 1024;
// Of the size of earlier answers, one part is forgotten with each smaller one.
constexpr std::size_t answer_bytes_divisor = 8;
// An answer is oversized from this multiple of the recent large ones of its route on, or from the
// second bound while none is known. Small ones never are.
constexpr std::size_t oversized_factor = 8;
constexpr std::size_t max_unknown_answer_bytes = 1024UL * 1024;
constexpr std::size_t max_small_answer_bytes = 64UL * 1024;
// Bytes that a caller may leave unread before its stream is aborted.
constexpr std::size_t max_unsent_bytes = 1024UL * 1024;
// How long a take-up waits for the upstreams' entries: the store usually responds within 4 ms, and
// within 250 ms when it is slow; another read may have been made just before.
constexpr auto max_registry_wait = milliseconds(800);

// Upstreams that have to agree that a stream has no further events.
constexpr int agreeing_upstreams = 2;
// A process that ends closes its listener within this time of its connections.
constexpr auto end_observation_time = milliseconds(300);
constexpr unsigned status_ok = 200;
constexpr std::string_view last_chunk = "0\r\n\r\n";

// Statuses that tell a caller that its request has not run.
bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string chunk(std::string_view bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

} // namespace

call_exchange::call_exchange(gateway_context& context, std::shared_ptr<caller_connection> caller,
                             call request, time_point arrived, memory_share request_share)
    : context_(context), caller_(std::move(caller)), call_(std::move(request)),
      request_share_(std::move(request_share)), answer_share_(context.answer_memory),
      arrived_at_(arrived), deadline_(arrived + std::chrono::hours(1)), config_(context.config),
      last_event_(call_.last_event)
{
}

void call_exchange::start()
{
    context_.metrics.in_flight.add(1);
    if (!resolve()) {
        return;
    }
    if (route_->kind == call_kind::stream && call_.is_take_up()) {
        return find_origin();
    }
    if (admit(pick_service())) {
        try_next_upstream();
    }
}

// Finds route and team; refuses calls that the configuration does not allow.
bool call_exchange::resolve()
{
    if (config_ == nullptr) {
        refuse({503, "no_configuration", retry_delay(), false});
        return false;
    }
    route_ = config_->find_route(call_.host, call_.path());
    if (route_ == nullptr) {
        refuse({404, "unknown_route", std::nullopt, false});
        return false;
    }
    team_ = config_->find_team(call_.key);
    if (config_->has_teams() && !route_->is_public && team_ == nullptr) {
        refuse({401, "unknown_key", std::nullopt, false});
        return false;
    }
    const auto wait = call_.caller_timeout.value_or(route_->time_limit);
    deadline_ = call_deadline(*route_, wait, arrived_at_);
    if (!is_taken_while_stopping()) {
        refuse({503, "gateway_stopping", retry_delay(), false});
        return false;
    }
    if (context_.answer_memory->is_scarce()) {
        context_.cut_oversized_answers();
    }
    if (context_.answer_memory->is_scarce() || !answer_share_.try_resize(expected_answer_bytes())) {
        refuse({503, "memory_used_up", retry_delay(), false});
        return false;
    }
    return true;
}

// A plain call that takes longer than aimed at still gets an answer when the calls are ended, while
// a stream would be broken off.
bool call_exchange::is_taken_while_stopping() const
{
    const auto now = steady_now();
    const bool is_stream = route_->kind == call_kind::stream;
    const auto limit = deadline_ - now;
    return context_.stop.takes_call(
        is_stream, is_stream ? limit : std::min<duration>(limit, route_->target_latency), now);
}

const service_rule* call_exchange::pick_service() const
{
    const service_rule* service = nullptr;
    double sum = 0;
    for (const auto& item : route_->services) {
        sum += item.weight;
    }
    double pick = std::uniform_real_distribution<double>(0, std::max(sum, 1e-9))(context_.random);
    for (const auto& item : route_->services) {
        service = config_->find_service(item.service);
        pick -= item.weight;
        if (pick < 0) {
            break;
        }
    }
    return service;
}

// Accepts the call for the service; refuses it if it crashes upstreams or its team is over its
// limit.
bool call_exchange::admit(const service_rule* service)
{
    service_ = service;
    if (service_ == nullptr) {
        refuse({503, "unknown_service", retry_delay(), false});
        return false;
    }
    context_.retries[service_->name].on_request();
    if (!context_.crashes.is_empty() && is_refused_for_crashes()) {
        refuse({503, "crashes_upstreams", context_.crashes.refusal_time(prints(), steady_now()),
                false});
        return false;
    }
    if (service_->engine) {
        context_.popularity.on_call(adapter_key(), steady_now());
    }
    if (team_ != nullptr) {
        tokens_ = call_.has_token_count ? call_.prompt_tokens + call_.max_output_tokens
                                        : team_->default_tokens;
        if (const auto wait_for_tokens = context_.teams.admit(team_->id, tokens_, steady_now())) {
            // The random part keeps callers that were refused together from retrying together.
            refuse({429, "over_team_limit", *wait_for_tokens + retry_delay(), false});
            return false;
        }
        is_charged_ = true;
    }
    return true;
}

// Asks for the version that began the stream, which the caller takes up at any gateway.
void call_exchange::find_origin()
{
    if (call_.resumes.empty()) {
        return on_origin(std::nullopt);
    }
    const auto team = team_ == nullptr ? team_id() : team_->id;
    lookup_membership_ = context_.upstreams.membership();
    origin_lookup_ = ++context_.last_origin_lookup;
    context_.take_ups[*origin_lookup_] = weak_from_this();
    context_.find_origin(*origin_lookup_, resume::make_stream_key(team, call_.resumes));
}

void call_exchange::on_origin(const std::optional<resume::stream_origin>& origin)
{
    if (is_done_) {
        return;
    }
    stop_finding_origin();
    const auto now = steady_now();
    if (origin) {
        return take_up(origin, true);
    }
    const auto sole = sole_origin(now);
    if (sole && !context_.upstreams.is_registry_read_since(arrived_at_)) {
        registry_wait_ends_ = now + max_registry_wait;
        return context_.read_registry();
    }
    take_up(sole, false);
}

// The stream may have begun at a version that this gateway has not heard of yet: its view of the
// upstreams has to be younger than the take-up.
void call_exchange::wait_for_registry(time_point now)
{
    if (!context_.upstreams.is_registry_read_since(arrived_at_)) {
        if (now < *registry_wait_ends_) {
            return context_.read_registry();
        }
        return take_up(std::nullopt, false);
    }
    registry_wait_ends_.reset();
    if (lookup_membership_ != context_.upstreams.membership()) {
        // Sidecars that were not known before may hold the origin.
        return find_origin();
    }
    take_up(sole_origin(now), false);
}

void call_exchange::take_up(const std::optional<resume::stream_origin>& known, bool is_recorded)
{
    registry_wait_ends_.reset();
    if (!known) {
        context_.metrics.take_ups_refused.add();
        return refuse({503, "stream_origin_unknown", std::nullopt, false});
    }
    const bool has_service = std::ranges::any_of(
        route_->services, [&](const auto& item) { return item.service == known->service; });
    const auto* service = has_service ? config_->find_service(known->service) : nullptr;
    if (service == nullptr) {
        context_.metrics.take_ups_refused.add();
        return refuse({503, "stream_service_gone", std::nullopt, false});
    }
    version_.bind(known->software);
    context_.log.info("stream_taken_up", {{"request", call_.request_id},
                                          {"resumes", call_.resumes},
                                          {"last_event", last_event_.value_or(0)},
                                          {"service", known->service},
                                          {"software", known->software},
                                          {"recorded", is_recorded}});
    if (admit(service)) {
        context_.metrics.take_ups.add();
        try_next_upstream();
    }
}

// The only version that can have begun the stream, if no holder knows its origin.
std::optional<resume::stream_origin> call_exchange::sole_origin(time_point now) const
{
    if (route_->services.size() != 1) {
        return std::nullopt;
    }
    const auto& service = route_->services.front().service;
    const auto software = context_.upstreams.sole_version(service, now);
    return software ? std::optional(resume::stream_origin{service, *software}) : std::nullopt;
}

void call_exchange::stop_finding_origin()
{
    if (origin_lookup_) {
        context_.take_ups.erase(*origin_lookup_);
        context_.cancel_origin_lookup(*origin_lookup_);
        origin_lookup_.reset();
    }
}

// Checks before the first events of an attempt are delivered that the version which began the
// stream has produced them.
bool call_exchange::confirm_version()
{
    if (version_.is_confirmed()) {
        return true;
    }
    const auto* state = context_.upstreams.find(upstream_);
    const auto current = state == nullptr ? std::string() : upstream_table::software_of(*state);
    switch (version_.on_first_events(current)) {
    case stream_version::verdict::continues:
        return true;
    case stream_version::verdict::differs:
        return false;
    case stream_version::verdict::begins:
        break;
    }
    if (version_.is_known() && route_->is_repeatable()) {
        record_origin(steady_now());
    }
    return true;
}

void call_exchange::record_origin(time_point now)
{
    next_record_at_ = now + resume::origin_directory::record_interval;
    const auto team = team_ == nullptr ? team_id() : team_->id;
    context_.record_origin(resume::make_stream_key(team, call_.request_id),
                           {service_->name, version_.required()});
}

// Another process may have started under the name of the upstream since it was chosen.
bool call_exchange::is_of_required_version(const upstream_id& upstream) const
{
    const auto* state = context_.upstreams.find(upstream);
    if (state == nullptr || !version_.allows(upstream_table::software_of(*state))) {
        return false;
    }
    return version_.required().empty() || !service_->engine ||
           upstream_table::is_process_confirmed(*state);
}

bool call_exchange::may_run_at(const upstream_id& upstream) const
{
    return is_of_required_version(upstream) && !context_.upstreams.find(upstream)->is_evacuated;
}

bool call_exchange::is_refused_for_crashes()
{
    const auto now = steady_now();
    if (!context_.crashes.is_refused(prints(), now)) {
        return false;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    const bool is_trial =
        context_.crashes.begin_trial(prints(), context_.gateways, draw(context_.random), now);
    is_trial_ = is_trial;
    if (is_trial) {
        context_.log.info("crash_trial",
                          {{"request", call_.request_id}, {"parts", shared_parts_text()}});
    }
    return !is_trial;
}

// Whether the call came to be refused after it was accepted. A trial may be sent once.
bool call_exchange::is_refused_meanwhile(time_point now) const
{
    return !context_.crashes.is_empty() && (!is_trial_ || runs_ > 0) &&
           context_.crashes.is_refused(prints(), now);
}

request_prints call_exchange::prints() const
{
    const auto content = content_hash();
    const auto team = stable_hash(team_ == nullptr ? std::string_view() : team_->id.str());
    return {combine_hash(team, content) & ~poison::part_flag, part_prints(),
            content & ~poison::part_flag};
}

std::vector<poison::fingerprint> call_exchange::part_prints() const
{
    const auto service = stable_hash(service_->name);
    std::vector<poison::fingerprint> parts;
    parts.reserve(call_.shared_parts.size());
    for (const auto part : call_.shared_parts) {
        parts.push_back(combine_hash(service, part) | poison::part_flag);
    }
    return parts;
}

std::uint64_t call_exchange::content_hash() const
{
    auto hash = stable_hash(service_->name);
    for (const std::string_view part :
         {std::string_view(call_.method), std::string_view(call_.host),
          std::string_view(call_.target), std::string_view(call_.model),
          std::string_view(call_.adapter), std::string_view(call_.body)}) {
        hash = combine_hash(hash, stable_hash(part));
    }
    return hash;
}

// The parts that the prompt shares with others, as the log names them.
std::string call_exchange::shared_parts_text() const
{
    constexpr std::size_t max_logged_parts = 8;
    std::string text;
    for (std::size_t i = 0; i < std::min(call_.shared_parts.size(), max_logged_parts); ++i) {
        text += fmt::format("{}{:08x}", i == 0 ? "" : ",", call_.shared_parts[i] >> 32U);
    }
    return text;
}

std::string call_exchange::adapter_key() const
{
    return call_.adapter.empty() ? std::string() : call_.model + "/" + call_.adapter;
}

std::uint64_t call_exchange::min_version(time_point now) const
{
    return context_.versions.min_version(adapter_key(), now);
}

void call_exchange::try_next_upstream()
{
    const auto now = steady_now();
    if (deadline_ - now < min_useful_time) {
        return give_up("no_time_left");
    }
    if (is_refused_meanwhile(now)) {
        return give_up("crashes_upstreams");
    }
    const auto destination = choose_upstream(now);
    if (const auto* target = std::get_if<send_to>(&destination)) {
        return dispatch(target->upstream, now);
    }
    if (const auto* target = std::get_if<wait_for_adapter>(&destination)) {
        return wait_for_load(target->upstream, now);
    }
    const auto& none = std::get<no_upstream>(destination);
    if (none.is_version_gone) {
        return give_up_for_good();
    }
    has_turn_ = none.is_backlogged;
    if (none.opens_at && none.rate_per_s > 0) {
        opens_at_ = context_.returns[service_->name].next(*none.opens_at,
                                                          none.rate_per_s / context_.gateways, now);
    }
    else if (none.opens_at) {
        opens_at_ = none.opens_at;
    }
    if (refused_admissions_ > 0) {
        return give_up_for_now("prompt_backlog");
    }
    if (none.is_backlogged) {
        context_.metrics.backlog_refusals.add();
        return give_up_for_now("upstreams_backlogged");
    }
    give_up_for_now(none.is_overloaded ? "upstreams_full" : "no_upstream");
}

// When an answer is wanted. One that comes later is given all the same; but a plain call that has
// not been sent yet is refused if that is forecast: others are then answered in time instead of
// waiting behind it, and its caller is told when its turn comes.
time_point call_exchange::wanted_by() const
{
    return sends_ > 0 ? deadline_ : gateway::wanted_by(*route_, arrived_at_, deadline_);
}

// Returns where the call can go now, and requests the replicas that its adapter should get.
placement call_exchange::choose_upstream(time_point now)
{
    const bool may_ask_for_permit = refused_permits_ < max_refused_permits;
    const bool was_turned_away = sends_ > runs_;
    const placement_query query{service_->name,
                                service_->engine ? adapter_key() : std::string(),
                                call_.model,
                                min_version(now),
                                excluded_,
                                context_.popularity.share(adapter_key(), now),
                                call_.session,
                                call_.shared_tokens,
                                refused_admissions_ == 0,
                                may_ask_for_permit,
                                version_.required(),
                                route_->id.str(),
                                route_->target_latency,
                                wanted_by(),
                                was_turned_away,
                                call_.prompt_tokens};
    const auto chosen =
        context_.selector.choose(query, *service_, context_.upstreams, context_.gateways, now);
    for (const auto& replica : chosen.replicas) {
        if (context_.upstreams.on_replica_requested(replica, adapter_key(), now)) {
            context_.send_demand(replica);
        }
    }
    return chosen.destination;
}

// Whether the upstream is chosen for more than that nothing else is left.
bool call_exchange::is_sound_target(const upstream_id& upstream, time_point now) const
{
    const auto* state = context_.upstreams.find(upstream);
    return state != nullptr && upstream_table::is_open(*state, now) && !state->removal_at &&
           !upstream_table::request_rate(*state, *service_, now) && now >= state->ejected_until &&
           !upstream_table::is_unresponsive(*state, now) && (!service_->engine || state->status);
}

// Moves the call to another upstream if one can take it at once. A silent upstream may be sound and
// go on, so that the call stays there until its time limit otherwise.
void call_exchange::leave_silent_upstream(time_point now)
{
    if (now < next_search_at_) {
        return;
    }
    next_search_at_ = now + search_interval;
    if (is_refused_meanwhile(now)) {
        return;
    }
    const auto destination = choose_upstream(now);
    if (const auto* loader = std::get_if<wait_for_adapter>(&destination)) {
        if (context_.upstreams.on_replica_requested(loader->upstream, adapter_key(), now)) {
            context_.send_demand(loader->upstream);
        }
    }
    const auto* target = std::get_if<send_to>(&destination);
    if (target == nullptr || !is_sound_target(target->upstream, now)) {
        return;
    }
    context_.log.info("attempt_failed", {{"request", call_.request_id},
                                         {"upstream", upstream_.str()},
                                         {"cause", "silent"},
                                         {"sends", sends_},
                                         {"runs", runs_},
                                         {"answering", has_response_begun_}});
    if (is_stream_open_) {
        broken_at_ = upstream_;
        context_.metrics.resumed_streams.add();
    }
    note_abandoned(now);
    release_upstream(call_result::failure, false);
    dispatch(target->upstream, now);
}

void call_exchange::wait_for_load(const upstream_id& upstream, time_point now)
{
    if (!wait_deadline_) {
        wait_deadline_ = now + max_load_wait;
    }
    if (++waits_ > max_waits || now >= *wait_deadline_) {
        return give_up_for_now("adapter_not_loaded");
    }
    context_.metrics.adapter_waits.add();
    pending_upstream_ = upstream;
    context_.upstreams.on_adapter_wait(upstream, adapter_key(), timely_until());
    context_.send_demand(upstream);
}

void call_exchange::stop_waiting()
{
    if (!pending_upstream_.empty()) {
        context_.upstreams.on_adapter_wait_ended(pending_upstream_, adapter_key());
        pending_upstream_ = {};
    }
}

void call_exchange::on_engine_status(const upstream_id& upstream)
{
    if (is_done_ || pending_upstream_ != upstream) {
        return;
    }
    const auto now = steady_now();
    if (!may_still_load(upstream, now)) {
        stop_waiting();
        --waits_;
        return try_next_upstream();
    }
    const auto* state = context_.upstreams.find(upstream);
    const auto resident = state->status->adapters.find(adapter_key());
    if (resident != state->status->adapters.end() && resident->second >= min_version(now)) {
        stop_waiting();
        --waits_;
        dispatch(upstream, now);
    }
}

// Sends the call to the upstream, or asks for a permit first if the upstream takes only some
// requests per second.
void call_exchange::dispatch(const upstream_id& upstream, time_point now)
{
    if (!may_run_at(upstream)) {
        return try_next_upstream();
    }
    const auto& state = *context_.upstreams.find(upstream);
    const bool is_cold = upstream_table::is_cold(state, *service_, now);
    // Plain upstreams have no sidecar: a gateway issues their permits in either case.
    if (state.rate || (is_cold && !service_->engine)) {
        return wait_for_permit(upstream, permit_kind::named_rate, now);
    }
    dispatch_unlimited(upstream, now);
}

// The upstream has named no request rate, or has a permit for it.
void call_exchange::dispatch_unlimited(const upstream_id& upstream, time_point now)
{
    const auto& state = *context_.upstreams.find(upstream);
    if (service_->engine && upstream_table::is_cold(state, *service_, now)) {
        return wait_for_permit(upstream, permit_kind::cold_engine, now);
    }
    dispatch_permitted(upstream, now);
}

void call_exchange::wait_for_permit(const upstream_id& upstream, permit_kind kind, time_point now)
{
    const auto number = ++context_.last_permit;
    permit_.emplace(number, upstream, now, kind);
    context_.permits[number] = weak_from_this();
    context_.upstreams.on_adapter_wait(upstream, adapter_key(), timely_until());
    ask_for_permit(now);
}

void call_exchange::ask_for_permit(time_point now)
{
    const auto* state = context_.upstreams.find(permit_->upstream());
    const auto rate =
        state == nullptr ? std::nullopt : upstream_table::request_rate(*state, *service_, now);
    if (!rate) {
        return on_permit({permit_->number(), true, false, {}});
    }
    const control::permit_request request{.call = permit_->number(),
                                          .upstream = permit_->upstream(),
                                          .process_start_ms = state->entry.process_start_ms,
                                          .rate_per_s = *rate,
                                          .has_ended = false,
                                          .age = state->rate ? now - state->rate->named_at
                                                             : duration{}};
    if (permit_->kind() == permit_kind::cold_engine) {
        context_.metrics.cold_permits_asked.add();
        return context_.send_to_sidecar(permit_->upstream(), request);
    }
    if (const auto answer = context_.ask_permit(request)) {
        on_permit(*answer);
    }
}

void call_exchange::on_permit(const control::permit_answer& answer)
{
    if (is_done_ || !permit_ || permit_->number() != answer.call) {
        return;
    }
    const auto now = steady_now();
    if (answer.has_ended && permit_->kind() == permit_kind::named_rate) {
        context_.upstreams.on_rate_named(permit_->upstream(), std::nullopt, now, now);
    }
    if (!answer.is_granted) {
        return on_permit_denied(answer.wait, now);
    }
    if (answer.wait > duration{}) {
        return permit_->on_granted(now + answer.wait);
    }
    on_permit_granted(now);
}

void call_exchange::on_permit_granted(time_point now)
{
    const auto upstream = permit_->upstream();
    const auto kind = permit_->kind();
    stop_waiting_for_permit();
    const auto* state = context_.upstreams.find(upstream);
    if (state == nullptr || !upstream_table::is_open(*state, now)) {
        return try_next_upstream();
    }
    if (kind == permit_kind::named_rate) {
        return dispatch_unlimited(upstream, now);
    }
    dispatch_permitted(upstream, now);
}

void call_exchange::on_permit_denied(duration wait, time_point now)
{
    const auto upstream = permit_->upstream();
    const auto kind = permit_->kind();
    stop_waiting_for_permit();
    if (kind == permit_kind::named_rate) {
        context_.upstreams.on_overloaded(upstream, wait, now);
    }
    else {
        context_.metrics.cold_permits_refused.add();
        context_.upstreams.on_permit_refused(upstream, wait, now);
    }
    ++refused_permits_;
    try_next_upstream();
}

// Other gateways may not get a response of the upstream for a while.
void call_exchange::report_rate_ended(const upstream_state& state)
{
    context_.ask_permit({.call = 0,
                         .upstream = state.entry.id,
                         .process_start_ms = state.entry.process_start_ms,
                         .rate_per_s = 0,
                         .has_ended = true,
                         .age = {}});
}

void call_exchange::tick_permit(time_point now)
{
    switch (permit_->on_tick(now)) {
    case permit_wait::step::wait:
        return;
    case permit_wait::step::give_up:
        if (permit_->kind() == permit_kind::cold_engine) {
            return on_permit_denied(silent_sidecar_pause, now);
        }
        context_.report_silent_issuer(permit_->upstream());
        return ask_for_permit(now);
    case permit_wait::step::send:
        return on_permit_granted(now);
    case permit_wait::step::ask_again:
        return ask_for_permit(now);
    }
}

void call_exchange::stop_waiting_for_permit()
{
    if (permit_) {
        context_.permits.erase(permit_->number());
        context_.upstreams.on_adapter_wait_ended(permit_->upstream(), adapter_key());
        permit_.reset();
    }
}

// Asks the sidecar of an engine first if the engine's prompts are paced.
void call_exchange::dispatch_permitted(const upstream_id& upstream, time_point now)
{
    if (!may_run_at(upstream)) {
        return try_next_upstream();
    }
    const auto* state = context_.upstreams.find(upstream);
    const bool has_prompt = service_->engine && call_.prompt_tokens > 0;
    // A call that an engine has begun goes on at once, as does one with a permit for a cold engine:
    // permits that wait would be used together.
    const bool must_ask = has_prompt && sends_ == 0 && state->status && state->status->is_paced &&
                          !upstream_table::is_cold(*state, *service_, now);
    if (!must_ask) {
        if (reserve_attempt(now)) {
            send(upstream, now);
            if (has_prompt) {
                ask_for_admission(control::admission_request::purpose::sent, upstream, 0, {});
            }
        }
        return;
    }
    const auto number = ++context_.last_admission;
    const auto max_wait = max_admission_wait(now);
    admission_.emplace(number, upstream, max_wait, now);
    context_.admissions[number] = weak_from_this();
    context_.upstreams.on_adapter_wait(upstream, adapter_key(), timely_until());
    ask_for_admission(control::admission_request::purpose::ask, upstream, number, max_wait);
}

void call_exchange::ask_for_admission(control::admission_request::purpose intent,
                                      const upstream_id& upstream, std::uint64_t number,
                                      duration max_wait)
{
    context_.send_to_sidecar(upstream,
                             control::admission_request{.gateway = context_.host,
                                                        .call = number,
                                                        .intent = intent,
                                                        .prompt_tokens = call_.prompt_tokens,
                                                        .urgency = urgency(),
                                                        .aim_wait = aim_wait(),
                                                        .max_wait = max_wait});
}

// Until when a call has to be sent so that its stream begins in time.
time_point call_exchange::timely_until() const
{
    return arrived_at_ + route_->target_latency - route_->target_latency / read_time_divisor;
}

// Time for which a prompt can wait and its stream still begin in time.
duration call_exchange::aim_wait() const
{
    return timely_until() - steady_now();
}

// Callers abandon a stream that has not begun after some multiples of the target latency.
duration call_exchange::max_admission_wait(time_point now) const
{
    const auto left = (deadline_ - now) / admission_limit_divisor;
    const auto until_abandoned =
        arrived_at_ + admission_target_factor * route_->target_latency - now;
    return std::max<duration>(std::min<duration>(left, until_abandoned), min_admission_wait);
}

void call_exchange::on_admission(const control::admission_answer& answer)
{
    if (!is_done_ && admission_ && admission_->number() == answer.call) {
        const auto now = steady_now();
        if (answer.decision == control::admission_answer::verdict::refused) {
            opens_at_ = now + answer.wait;
        }
        take_step(admission_->on_answer(answer, now), now);
    }
}

void call_exchange::take_step(admission_wait::step step, time_point now)
{
    const auto upstream = admission_->upstream();
    switch (step) {
    case admission_wait::step::wait:
        return;
    case admission_wait::step::ask_again:
        return ask_for_admission(control::admission_request::purpose::ask, upstream,
                                 admission_->number(), admission_->time_left(now));
    case admission_wait::step::send:
        stop_asking();
        if (!may_run_at(upstream)) {
            return try_next_upstream();
        }
        // It may have become cold since the question.
        if (upstream_table::is_cold(*context_.upstreams.find(upstream), *service_, now)) {
            return dispatch(upstream, now);
        }
        if (reserve_attempt(now)) {
            send(upstream, now);
        }
        return;
    case admission_wait::step::go_elsewhere:
        stop_asking();
        excluded_.insert(upstream);
        ++refused_admissions_;
        return try_next_upstream();
    }
}

// Ends the wait for admission, whatever its outcome.
void call_exchange::stop_asking()
{
    if (!admission_) {
        return;
    }
    admission_time_ += steady_now() - admission_->began();
    context_.admissions.erase(admission_->number());
    context_.upstreams.on_adapter_wait_ended(admission_->upstream(), adapter_key());
    admission_.reset();
}

bool call_exchange::may_still_load(const upstream_id& upstream, time_point now) const
{
    const auto* state = context_.upstreams.find(upstream);
    return state != nullptr && upstream_table::is_open(*state, now) &&
           !upstream_table::is_unresponsive(*state, now) &&
           upstream_table::can_load(*state, call_.model, now);
}

// Checks and charges the retry budget for another attempt; refuses the call if it is not allowed.
bool call_exchange::reserve_attempt(time_point now)
{
    if (caller_->end_if_left()) {
        return false;
    }
    // The call may have waited for its adapter or its admission.
    if (is_refused_meanwhile(now)) {
        give_up("crashes_upstreams");
        return false;
    }
    if (sends_ == 0) {
        return true;
    }
    if (!can_try_again(now)) {
        give_up("attempts_used_up");
        return false;
    }
    if (!context_.retries[service_->name].try_take()) {
        context_.metrics.retries_denied.add();
        give_up_for_now("retry_budget_used_up");
        return false;
    }
    context_.metrics.retries.add();
    return true;
}

bool call_exchange::can_try_again(time_point now) const
{
    const bool may_run_again = runs_ == 0 || route_->is_repeatable();
    return may_run_again && runs_ < route_->max_attempts &&
           sends_ - forgiven_sends_ < route_->max_attempts + max_refused_sends &&
           deadline_ - now >= min_useful_time;
}

void call_exchange::send(const upstream_id& upstream, time_point now)
{
    const auto* state = context_.upstreams.find(upstream);
    upstream_ = upstream;
    excluded_.insert(upstream);
    sent_at_ = now;
    status_age_ = state->status ? now - state->status_at : duration{};
    progress_at_ = now;
    has_response_begun_ = false;
    header_.reset();
    body_ = {};
    events_ = {};
    has_added_events_ = false;
    is_resumption_ = is_stream_open_ || call_.is_take_up();
    end_confirmed_at_.reset();
    const auto address = state->entry.address;
    version_.on_sent(upstream_table::software_of(*state));
    log_resumption(*state);
    if (!service_->engine) {
        auto& forecaster = context_.selector.forecaster();
        const auto route = route_->id.str();
        placed_ = placed_call{upstream, service_->name, route,
                              forecaster.forecast(*state, route, context_.gateways, now), now};
        forecaster.on_sent(*placed_);
        forecast_ = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(placed_->forecast.finish_s()));
    }
    context_.upstreams.on_call_sent(upstream, adapter_key(), call_.prompt_tokens);

    attempt_header attempt;
    attempt.upstream = upstream;
    attempt.team = team_ == nullptr ? team_id() : team_->id;
    attempt.time_left = deadline_ + response_margin - now;
    attempt.last_event = last_event_;
    if (service_->engine) {
        attempt.urgency = urgency();
    }
    channel_ = context_.channels.acquire(address, call_.request_id, now);
    ++sends_;
    ++runs_;
    const auto self = shared_from_this();
    const auto used = channel_;
    const auto guarded = [self, used](auto action) {
        return [self, used, action](const auto&... arguments) {
            if (!self->is_done_ && self->channel_ == used) {
                ((*self).*action)(arguments...);
            }
        };
    };
    channel_handler handler;
    handler.is_wanted = [self] { return !self->caller_->end_if_left(); };
    handler.header = guarded(&call_exchange::on_header);
    handler.body = guarded(&call_exchange::on_body);
    handler.ended = guarded(&call_exchange::on_ended);
    handler.failed = guarded(&call_exchange::on_failed);
    channel_->exchange(platform::encode_attempt(call_, attempt),
                       std::shared_ptr<const std::string>(self, &call_.body), call_.request_id,
                       call_.method == "HEAD", std::min<duration>(connect_timeout, deadline_ - now),
                       std::move(handler));
}

// Logs which upstream continues a stream that its caller has received a part of.
void call_exchange::log_resumption(const upstream_state& state)
{
    if (!last_event_ || !route_->is_repeatable()) {
        return;
    }
    context_.log.info("stream_resumed", {{"request", call_.request_id},
                                         {"resumes", call_.resumes},
                                         {"last_event", *last_event_},
                                         {"from", broken_at_.str()},
                                         {"upstream", upstream_.str()},
                                         {"required", version_.required()},
                                         {"software", upstream_table::software_of(state)}});
}

int call_exchange::urgency() const
{
    const int route_level = std::min(route_->priority, route_urgency_levels - 1);
    const int team_level = team_ == nullptr ? 0 : team_->priority;
    return std::min(team_level * route_urgency_levels + route_level, lowest_urgency);
}

void call_exchange::on_header(const answer_header& header)
{
    progress_at_ = steady_now();
    header_ = header;
    note_upstream_state(header);
    if (!has_response_begun_) {
        has_response_begun_ = true;
        context_.upstreams.on_response_started(upstream_, call_.prompt_tokens, progress_at_);
    }
    const bool is_usable = header.is_success() && header.is_sealed && !header.is_encoded;
    if (header.is_success() && !is_usable) {
        return on_attempt_failed("answer_not_the_upstreams_own");
    }
    if (is_stream_open_ && is_usable && !continues_stream(header)) {
        return on_attempt_failed("answer_does_not_continue_the_stream");
    }
    const bool is_stream =
        route_->kind == call_kind::stream && header.status == status_ok && call_.method != "HEAD";
    if (is_stream && is_usable) {
        context_.metrics.latency.record(
            std::chrono::duration<double>(steady_now() - arrived_at_).count());
        if (!is_stream_open_) {
            begin_stream();
        }
    }
}

// An error that bears a success status, such as 204, must not end the stream as if it were
// complete.
bool call_exchange::continues_stream(const answer_header& header) const
{
    return header.status == status_ok && header.is_event_stream == is_event_stream_;
}

// Takes over what a response states about its upstream's willingness to accept calls.
void call_exchange::note_upstream_state(const answer_header& header)
{
    if (header.is_from_other(upstream_.str())) {
        return;
    }
    if (header.load) {
        context_.upstreams.on_load_stated(upstream_, *header.load, progress_at_);
    }
    const auto* state = context_.upstreams.find(upstream_);
    if (header.is_leaving && state != nullptr && !state->leaving_since) {
        context_.log.info("upstream_leaving",
                          {{"request", call_.request_id}, {"upstream", upstream_.str()}});
        context_.upstreams.on_leaving(upstream_, progress_at_);
    }
    if (header.has_invalid_rate_limit) {
        context_.log.warning("rate_limit_invalid",
                             {{"request", call_.request_id}, {"upstream", upstream_.str()}});
    }
    else if (context_.upstreams.on_rate_named(upstream_, header.rate_limit, sent_at_,
                                              progress_at_)) {
        context_.log.info("upstream_rate_limited", {{"request", call_.request_id},
                                                    {"upstream", upstream_.str()},
                                                    {"per_s", header.rate_limit.value_or(0)},
                                                    {"ended", !header.rate_limit}});
        if (!header.rate_limit) {
            report_rate_ended(*state);
        }
    }
    if (header.status == 503 && header.retry_after) {
        context_.log.info(
            "upstream_overloaded",
            {{"request", call_.request_id},
             {"upstream", upstream_.str()},
             {"retry_after_ms",
              std::chrono::duration_cast<milliseconds>(*header.retry_after).count()}});
        context_.upstreams.on_overloaded(upstream_, *header.retry_after, progress_at_);
    }
}

// Logs the circumstances of a response that exceeded the target latency of its route.
void call_exchange::log_late_response()
{
    const auto first = first_byte_at_.value_or(steady_now()) - arrived_at_;
    if (first <= route_->target_latency) {
        return;
    }
    const auto ms = [](duration span) {
        return std::chrono::duration_cast<milliseconds>(span).count();
    };
    const auto* state = context_.upstreams.find(upstream_);
    const bool has_status = state != nullptr && state->status;
    context_.log.info("call_late", {{"request", call_.request_id},
                                    {"route", route_->id.str()},
                                    {"adapter", adapter_key()},
                                    {"upstream", upstream_.str()},
                                    {"sends", sends_},
                                    {"waits", waits_},
                                    {"prompt_tokens", call_.prompt_tokens},
                                    {"sent_after_ms", ms(sent_at_ - arrived_at_)},
                                    {"admission_ms", ms(admission_time_)},
                                    {"answered_after_ms", ms(first)},
                                    {"running", has_status ? state->status->running : 0},
                                    {"waiting", has_status ? state->status->waiting : 0},
                                    {"in_flight", state == nullptr ? 0 : state->in_flight},
                                    {"status_age_ms", ms(status_age_)},
                                    {"forecast_ms", ms(forecast_)},
                                    {"config", config_->version()}});
}

// Logs a stream that began in time and was late by a pause between two events.
void call_exchange::log_paused_stream()
{
    const bool began_in_time =
        first_byte_at_ && *first_byte_at_ - arrived_at_ <= route_->target_latency;
    if (!began_in_time || route_->target_gap <= duration{} || longest_gap_ <= route_->target_gap) {
        return;
    }
    const auto* state = context_.upstreams.find(upstream_);
    const bool has_status = state != nullptr && state->status;
    context_.log.info(
        "stream_paused",
        {{"request", call_.request_id},
         {"route", route_->id.str()},
         {"upstream", upstream_.str()},
         {"sends", sends_},
         {"longest_gap_ms", std::chrono::duration_cast<milliseconds>(longest_gap_).count()},
         {"running", has_status ? state->status->running : 0},
         {"waiting", has_status ? state->status->waiting : 0}});
}

void call_exchange::on_body(std::string_view bytes)
{
    const auto now = steady_now();
    context_.upstreams.on_progress(upstream_, now);
    if (is_stream_open_ && header_->is_success()) {
        if (!first_byte_at_) {
            first_byte_at_ = now;
            log_late_response();
        }
        return forward_events(bytes, now);
    }
    progress_at_ = now;
    body_ += bytes;
    if (!takes_memory_of_answer()) {
        on_attempt_failed("answer_too_large");
    }
}

std::size_t call_exchange::buffered_bytes() const
{
    return body_.capacity() + (failed_response_ ? failed_response_->body.capacity() : 0);
}

bool call_exchange::takes_memory_of_answer()
{
    const auto needed = std::max(buffered_bytes(), expected_answer_bytes());
    if (body_.size() > max_buffered_bytes) {
        return false;
    }
    if (answer_share_.try_resize(needed)) {
        return true;
    }
    if (oversized_bytes() > 0) {
        return false;
    }
    context_.cut_oversized_answers();
    return answer_share_.try_resize(needed);
}

std::size_t call_exchange::oversized_bytes() const
{
    if (is_done_ || route_ == nullptr) {
        return 0;
    }
    const auto expected = expected_answer_bytes();
    const auto limit = expected == 0
                           ? max_unknown_answer_bytes
                           : std::max(oversized_factor * expected, max_small_answer_bytes);
    return channel_ != nullptr && body_.capacity() > limit ? body_.capacity() : 0;
}

void call_exchange::cut_oversized_answer()
{
    on_attempt_failed("answer_too_large");
}

// What answers of the route have needed lately, unless they are passed on as they arrive.
std::size_t call_exchange::expected_answer_bytes() const
{
    const auto known = context_.answer_bytes.find(route_->id.str());
    return known == context_.answer_bytes.end() ? 0 : known->second;
}

void call_exchange::learn_answer_bytes(std::size_t bytes)
{
    const auto decayed =
        expected_answer_bytes() / answer_bytes_divisor * (answer_bytes_divisor - 1);
    context_.answer_bytes[route_->id.str()] = std::max(bytes, decayed);
}

void call_exchange::on_ended()
{
    if (header_->has_not_run(upstream_.str())) {
        return on_not_run();
    }
    if (is_stream_open_ && header_->is_success()) {
        return on_stream_ended();
    }
    if (is_stream_open_) {
        return resume_on_another_upstream("resumption_failed");
    }
    const buffered_response response{*header_, std::move(body_)};
    if (promises_not_run(header_->status)) {
        // The upstream did not say so in the platform's way and may have run the request.
        return on_attempt_failed("status_of_a_refusal");
    }
    const bool is_failure = header_->status >= 500;
    if (!is_failure) {
        release_upstream(call_result::success, true);
        return forward_buffered(response);
    }
    release_upstream(call_result::failure, true);
    failed_response_ = response;
    const auto now = steady_now();
    if (can_try_again(now) && context_.retries[service_->name].available() >= 1) {
        return try_next_upstream();
    }
    forward_buffered(response);
}

void call_exchange::on_failed(const absl::Status& status)
{
    if (absl::IsResourceExhausted(status)) {
        // No other upstream can be reached either.
        --sends_;
        --runs_;
        log_failed_attempt(to_std(status.message()));
        release_upstream(call_result::refused, false);
        return give_up_for_now("connections_used_up");
    }
    if (absl::IsUnavailable(status)) {
        // The upstream has not received the request.
        --sends_;
        --runs_;
        context_.report_upstream_unreachable(upstream_);
    }
    else if (const auto* state = context_.upstreams.find(upstream_)) {
        // A broken connection alone does not show whether the upstream has crashed.
        note_broken(*state);
        probe_connect(context_.executor, state->entry.address, connect_timeout,
                      [report = context_.report_upstream_ended, id = upstream_] { report(id); });
    }
    on_attempt_failed(to_std(status.message()));
}

// A part of the prompt can only be the cause of a crash if the response had begun.
request_prints call_exchange::suspects() const
{
    auto suspects = prints();
    if (!has_response_begun_) {
        suspects.parts.clear();
    }
    return suspects;
}

void call_exchange::note_broken(const upstream_state& state)
{
    context_.crashes.on_broken(suspects(), upstream_, state.entry.process_start_ms, sent_at_,
                               steady_now());
}

// Gives up the run. A crash under it will not be seen on its connection any more.
void call_exchange::note_abandoned(time_point now)
{
    const auto* state = channel_ == nullptr ? nullptr : context_.upstreams.find(upstream_);
    if (state != nullptr && upstream_table::is_serving(*state, now)) {
        context_.crashes.on_abandoned(suspects(), upstream_, state->entry.process_start_ms,
                                      sent_at_, now);
    }
}

// The upstream refused to run the request.
void call_exchange::on_not_run()
{
    --runs_;
    const auto status = header_->status;
    const bool is_other = header_->is_from_other(upstream_.str());
    const bool is_missing = status == 421 && !is_other;
    if (is_other) {
        context_.upstreams.remove(upstream_, steady_now());
    }
    if (is_missing) {
        context_.upstreams.on_adapter_missing(upstream_, adapter_key());
    }
    context_.log.info("attempt_refused", {{"request", call_.request_id},
                                          {"upstream", upstream_.str()},
                                          {"status", status},
                                          {"stated", header_->states_not_run},
                                          {"other_upstream", is_other},
                                          {"sends", sends_}});
    if (placed_ && !is_other && header_->load) {
        context_.selector.forecaster().on_shed(*placed_, *header_->load, steady_now());
    }
    release_upstream(call_result::refused, true);
    if (can_try_again(steady_now())) {
        return try_next_upstream();
    }
    give_up_for_now("upstreams_refused");
}

void call_exchange::log_failed_attempt(std::string_view cause) const
{
    context_.log.info("attempt_failed", {{"request", call_.request_id},
                                         {"upstream", upstream_.str()},
                                         {"cause", std::string(cause)},
                                         {"sends", sends_},
                                         {"runs", runs_},
                                         {"answering", has_response_begun_},
                                         {"parts", shared_parts_text()}});
}

// The upstream broke off, stalled or sent an unusable response.
void call_exchange::on_attempt_failed(std::string_view cause)
{
    log_failed_attempt(cause);
    drop_partial_answer();
    if (is_stream_open_) {
        return resume_on_another_upstream(cause);
    }
    release_upstream(call_result::failure, false);
    if (can_try_again(steady_now())) {
        return try_next_upstream();
    }
    give_up("upstream_failed");
}

// The call may wait for a while before it is sent again.
void call_exchange::drop_partial_answer()
{
    body_ = {};
    answer_share_.resize(std::max(buffered_bytes(), expected_answer_bytes()));
}

void call_exchange::resume_on_another_upstream(std::string_view cause)
{
    broken_at_ = upstream_;
    release_upstream(call_result::failure, false);
    if (!can_try_again(steady_now())) {
        return give_up_for_now(cause);
    }
    context_.metrics.resumed_streams.add();
    try_next_upstream();
}

void call_exchange::begin_stream()
{
    is_stream_open_ = true;
    is_event_stream_ = header_->is_event_stream;
    caller_->send(fmt::format("HTTP/1.1 {} {}\r\n{}Transfer-Encoding: chunked\r\n{}\r\n",
                              header_->status, header_->reason, header_->forwarded_header,
                              context_.is_draining ? "Connection: close\r\n" : ""));
}

// Only whole events are progress: a stalled upstream may still send a byte now and then.
void call_exchange::forward_events(std::string_view bytes, time_point now)
{
    std::string forwarded;
    bool is_event_missing = false;
    auto last_event = last_event_;
    for (const auto& event : events_.feed(bytes)) {
        if (event.number) {
            if (last_event && *event.number <= *last_event) {
                continue;
            }
            is_event_missing = last_event && *event.number != *last_event + 1;
            if (is_event_missing) {
                break;
            }
            last_event = event.number;
        }
        forwarded += event.bytes;
    }
    if (!forwarded.empty() && !confirm_version()) {
        return on_attempt_failed("other_software");
    }
    last_event_ = last_event;
    if (is_event_missing) {
        if (!forwarded.empty()) {
            caller_->send(chunk(forwarded));
        }
        return on_attempt_failed("event_missing");
    }
    if (forwarded.empty()) {
        if (events_.is_too_large()) {
            on_attempt_failed("event_too_large");
        }
        return;
    }
    progress_at_ = now;
    if (last_event_at_) {
        note_gap(progress_at_ - *last_event_at_);
    }
    last_event_at_ = progress_at_;
    if (caller_->unsent_bytes() > max_unsent_bytes) {
        return abort_response("caller_does_not_read");
    }
    has_added_events_ = true;
    caller_->send(chunk(forwarded));
}

void call_exchange::note_gap(duration gap)
{
    longest_gap_ = std::max(longest_gap_, gap);
    const bool is_pause = route_->target_gap > duration{} && gap > route_->target_gap;
    // A gap during which the stream moved says nothing about its new engine.
    if (is_pause && service_->engine && *last_event_at_ >= sent_at_ &&
        context_.upstreams.on_pause(upstream_, pause_report_interval, progress_at_)) {
        context_.send_to_sidecar(upstream_, control::stream_pause{gap, route_->target_gap});
    }
}

// An answer with a stated end that adds events proves the end of the stream. A crash looks like the
// end of an answer that ends with its connection, so that its upstream must live on. A resumption
// that adds nothing may be an error in the form of a success, so that another upstream must agree.
void call_exchange::on_stream_ended()
{
    if (events_.has_partial()) {
        return resume_on_another_upstream("stream_ends_inside_an_event");
    }
    if (is_resumption_ && !has_added_events_) {
        if (++empty_resumptions_ < agreeing_upstreams) {
            return on_attempt_failed("resumption_adds_nothing");
        }
        return end_stream();
    }
    if (!header_->ends_with_connection) {
        return end_stream();
    }
    end_confirmed_at_ = std::min(steady_now() + end_observation_time, deadline_);
    if (const auto* state = context_.upstreams.find(upstream_)) {
        probe_connect(context_.executor, state->entry.address, connect_timeout,
                      [self = shared_from_this(), used = channel_] {
                          if (!self->is_done_ && self->channel_ == used) {
                              self->end_confirmed_at_.reset();
                              self->context_.report_upstream_ended(self->upstream_);
                              self->on_attempt_failed("upstream_ended");
                          }
                      });
    }
}

void call_exchange::end_stream()
{
    log_paused_stream();
    release_upstream(call_result::success, true);
    context_.metrics.responses.add();
    const auto caller = caller_;
    caller->send(std::string(last_chunk));
    finish();
    caller->end_response(context_.is_draining || !call_.keep_alive);
}

void call_exchange::forward_buffered(const buffered_response& response)
{
    log_late_response();
    if (!response.header.ends_with_connection) {
        // Others may be cut short, or never have been an answer.
        learn_answer_bytes(response.body.size());
    }
    context_.metrics.responses.add();
    context_.metrics.latency.record(
        std::chrono::duration<double>(steady_now() - arrived_at_).count());
    const bool has_body =
        response.header.status != 204 && response.header.status != 304 && call_.method != "HEAD";
    // An answer that ended with its connection may be cut short, so that no length is stated.
    const bool has_length = has_body && !response.header.ends_with_connection;
    const bool closes = context_.is_draining || !call_.keep_alive || (has_body && !has_length);
    const auto caller = caller_;
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n{}", response.header.status,
                                   response.header.reason, response.header.forwarded_header);
    if (closes) {
        text += "Connection: close\r\n";
    }
    if (has_length) {
        text += fmt::format("Content-Length: {}\r\n", response.body.size());
    }
    text += "\r\n";
    if (has_body) {
        text += response.body;
    }
    // The memory now belongs to the connection.
    answer_share_.release();
    if (has_body && !has_length) {
        caller->expect_end_with_connection();
    }
    caller->send(std::move(text));
    finish();
    caller->end_response(closes);
}

void call_exchange::release_upstream(call_result result, bool keeps_channel)
{
    if (channel_ == nullptr) {
        return;
    }
    const auto now = steady_now();
    if (result == call_result::success && header_->is_success()) {
        if (channel_->was_closed_by_upstream()) {
            // Without a length the end of a response and a crash look alike. An upstream that is
            // leaving ends for another reason.
            const auto* state = context_.upstreams.find(upstream_);
            if (state != nullptr && upstream_table::is_serving(*state, now)) {
                note_broken(*state);
            }
        }
        else {
            context_.crashes.on_sound(part_prints(), now);
            if (!context_.crashes.is_empty()) {
                context_.crashes.on_completed(prints(), now);
            }
        }
    }
    learn_cost(result, now);
    const auto used = std::exchange(channel_, nullptr);
    const auto outstanding_tokens = has_response_begun_ ? 0 : call_.prompt_tokens;
    if (context_.upstreams.on_call_ended(upstream_, adapter_key(), outstanding_tokens, result,
                                         now)) {
        context_.send_demand(upstream_);
    }
    if (keeps_channel) {
        context_.channels.release(used, now);
    }
    else {
        used->abandon();
    }
}

// Compares what the attempt took with its forecast.
void call_exchange::learn_cost(call_result result, time_point now)
{
    if (!placed_) {
        return;
    }
    const auto placed = *std::exchange(placed_, std::nullopt);
    auto& forecaster = context_.selector.forecaster();
    const bool is_answered =
        result == call_result::success && header_->is_success() && header_->load;
    if (!is_answered) {
        return forecaster.on_given_up(placed, !has_response_begun_, now);
    }
    if (const auto error_s = forecaster.on_answered(placed, *header_->load, now)) {
        context_.metrics.forecast_error.record(std::abs(*error_s));
    }
}

// Sends the final response to a request for which no upstream is left.
void call_exchange::give_up(std::string_view cause)
{
    if (is_stream_open_) {
        return abort_response(cause);
    }
    if (failed_response_) {
        const auto response = *std::exchange(failed_response_, std::nullopt);
        return forward_buffered(response);
    }
    if (runs_ > 0) {
        return refuse({502, std::string(cause), std::nullopt, false});
    }
    refuse({503, std::string(cause), retry_delay(), false});
}

// No upstream of the version that began the stream is left.
void call_exchange::give_up_for_good()
{
    if (is_stream_open_ || runs_ > 0) {
        return give_up("software_version_gone");
    }
    context_.metrics.take_ups_refused.add();
    refuse({503, "software_version_gone", std::nullopt, false});
}

// The call cannot go on at the moment. A stream that has begun waits while its caller does; other
// calls are refused at once, so that their callers can try another gateway.
void call_exchange::give_up_for_now(std::string_view cause)
{
    const auto now = steady_now();
    const auto until = std::min(patience_end(), deadline_ - min_useful_time);
    const bool may_run_again = route_->is_repeatable() && runs_ < route_->max_attempts;
    if (is_stream_open_ && now < until && may_run_again) {
        return wait_to_resume(cause, until, now);
    }
    give_up(cause);
}

void call_exchange::wait_to_resume(std::string_view cause, time_point until, time_point now)
{
    resume_ = resume_wait{++context_.last_resumption, std::string(cause), until};
    context_.resumptions[service_->name].add(resume_->number, last_event_.value_or(0),
                                             now + resume_interval);
}

// Starts over with all upstreams but the one that failed last.
void call_exchange::try_to_resume(time_point now)
{
    if (now >= resume_->until) {
        const auto cause = resume_->cause;
        stop_waiting_to_resume();
        return give_up(cause);
    }
    const auto& version = version_.required();
    if (!version.empty() && !context_.upstreams.has_version(service_->name, version, now)) {
        stop_waiting_to_resume();
        return give_up_for_good();
    }
    const auto places = static_cast<std::size_t>(context_.retries[service_->name].available());
    if (!context_.resumptions[service_->name].is_among_first(
            resume_->number, last_event_.value_or(0), places, now)) {
        return;
    }
    stop_waiting_to_resume();
    excluded_ = {broken_at_};
    forgiven_sends_ = sends_ - runs_;
    refused_admissions_ = 0;
    refused_permits_ = 0;
    waits_ = 0;
    wait_deadline_.reset();
    try_next_upstream();
}

void call_exchange::stop_waiting_to_resume()
{
    if (resume_) {
        context_.resumptions[service_->name].remove(resume_->number, last_event_.value_or(0));
        resume_.reset();
    }
}

time_point call_exchange::patience_end() const
{
    const auto patience =
        std::max({duration(min_caller_patience), patience_latency_factor * route_->target_latency,
                  patience_gap_factor * route_->target_gap});
    return last_event_at_.value_or(sent_at_) + patience;
}

// Delay after which a refused caller may retry.
duration call_exchange::retry_delay()
{
    std::uniform_int_distribution<duration::rep> spread(duration(min_retry_delay).count(),
                                                        duration(max_retry_delay).count());
    const auto until_open = opens_at_ ? *opens_at_ - steady_now() : duration{};
    if (has_turn_) {
        return std::max(until_open, duration{});
    }
    return std::max(until_open, duration{}) + duration(spread(context_.random));
}

void call_exchange::refuse(const refusal& refused)
{
    context_.metrics.refusals.add();
    context_.log.info(
        "call_refused",
        {{"request", call_.request_id},
         {"status", refused.status},
         {"cause", refused.cause},
         {"route", route_ == nullptr ? std::string() : route_->id.str()},
         {"adapter", adapter_key()},
         {"team", team_ == nullptr ? std::string() : team_->id.str()},
         {"sends", sends_},
         {"runs", runs_},
         {"waits", waits_},
         {"retry_after_ms",
          refused.retry_after
              ? std::chrono::duration_cast<milliseconds>(*refused.retry_after).count()
              : 0},
         {"after_ms", std::chrono::duration_cast<milliseconds>(steady_now() - arrived_at_).count()},
         {"config", config_ == nullptr ? std::uint64_t{0} : config_->version()}});
    auto response = refused;
    response.closes = context_.is_draining || !call_.keep_alive;
    const auto caller = caller_;
    caller->send(to_http(response, call_.request_id));
    finish();
    caller->end_response(response.closes);
}

void call_exchange::abort_response(std::string_view cause)
{
    context_.metrics.broken_streams.add();
    context_.log.warning("stream_broken", {{"request", call_.request_id},
                                           {"upstream", upstream_.str()},
                                           {"cause", std::string(cause)},
                                           {"last_event", last_event_.value_or(0)},
                                           {"runs", runs_}});
    release_upstream(call_result::refused, false);
    const auto caller = caller_;
    finish();
    caller->abort();
}

void call_exchange::on_caller_disconnected()
{
    if (is_done_) {
        return;
    }
    context_.metrics.cancellations.add();
    note_abandoned(steady_now());
    release_upstream(call_result::refused, false);
    finish();
}

void call_exchange::abort()
{
    if (is_done_) {
        return;
    }
    release_upstream(call_result::refused, false);
    if (!is_stream_open_) {
        return refuse({runs_ > 0 ? 502U : 503U, "internal_fault", std::nullopt, false});
    }
    abort_response("internal_fault");
}

void call_exchange::drop()
{
    const auto caller = caller_;
    finish();
    caller->abort();
}

void call_exchange::end_for_stop()
{
    if (is_done_) {
        return;
    }
    release_upstream(call_result::refused, false);
    give_up("gateway_stopping");
}

void call_exchange::finish()
{
    if (is_done_) {
        return;
    }
    is_done_ = true;
    request_share_.release();
    answer_share_.release();
    stop_waiting();
    stop_waiting_to_resume();
    stop_waiting_for_permit();
    stop_finding_origin();
    if (admission_) {
        ask_for_admission(control::admission_request::purpose::cancel, admission_->upstream(),
                          admission_->number(), {});
        stop_asking();
    }
    if (is_charged_ && runs_ == 0) {
        context_.teams.refund(team_->id, tokens_, steady_now());
    }
    context_.metrics.in_flight.add(-1);
    context_.exchanges.erase(shared_from_this());
}

void call_exchange::log_cut() const
{
    context_.log.warning(
        "call_cut",
        {{"request", call_.request_id},
         {"upstream", upstream_.str()},
         {"sends", sends_},
         {"runs", runs_},
         {"after_ms",
          std::chrono::duration_cast<milliseconds>(steady_now() - arrived_at_).count()}});
}

duration call_exchange::stall_timeout() const
{
    if (route_->kind == call_kind::stream) {
        return is_stream_open_ ? std::max<duration>(2 * route_->target_gap, min_gap_stall)
                               : std::max<duration>(stall_factor * route_->target_latency,
                                                    min_first_event_stall);
    }
    return std::min<duration>(stall_factor * route_->target_latency,
                              route_->time_limit / stall_limit_divisor);
}

void call_exchange::on_tick(time_point now)
{
    if (is_done_) {
        return;
    }
    if (end_confirmed_at_) {
        return now >= *end_confirmed_at_ ? end_stream() : void();
    }
    if (now >= deadline_) {
        const bool is_running = channel_ != nullptr;
        note_abandoned(now);
        release_upstream(call_result::refused, false);
        if (is_stream_open_) {
            return abort_response("time_limit");
        }
        if (is_running) {
            return refuse({504, "time_limit", std::nullopt, false});
        }
        return give_up("time_limit");
    }
    if (next_record_at_ && now >= *next_record_at_) {
        record_origin(now);
    }
    if (registry_wait_ends_) {
        return wait_for_registry(now);
    }
    if (resume_) {
        return try_to_resume(now);
    }
    if (!pending_upstream_.empty()) {
        const auto* state = context_.upstreams.find(pending_upstream_);
        const bool is_unavailable = state == nullptr || !upstream_table::is_open(*state, now) ||
                                    upstream_table::is_unresponsive(*state, now);
        if (is_unavailable || now >= *wait_deadline_) {
            const auto pending_upstream = pending_upstream_;
            stop_waiting();
            excluded_.insert(pending_upstream);
            return try_next_upstream();
        }
    }
    if (permit_) {
        return tick_permit(now);
    }
    if (admission_) {
        const auto* state = context_.upstreams.find(admission_->upstream());
        const bool is_unavailable = state == nullptr || !upstream_table::is_open(*state, now) ||
                                    upstream_table::is_unresponsive(*state, now);
        return take_step(
            is_unavailable ? admission_wait::step::go_elsewhere : admission_->on_tick(now), now);
    }
    if (channel_ != nullptr && route_->is_repeatable() && now - progress_at_ > stall_timeout() &&
        can_try_again(now) && context_.retries[service_->name].available() >= 1) {
        leave_silent_upstream(now);
    }
}

} // namespace snipespar::gateway
