#include "agent/request_runner.h"

#include "net/steady_time.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <limits>
#include <utility>

namespace snipespar::agent {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(50);
constexpr auto probe_interval = std::chrono::seconds(1);
constexpr double thousandths = 1000.0;

// Retry delay of a queued request that became suspect, after which it is placed again.
constexpr duration suspect_retry_after = std::chrono::milliseconds(100);

// Names no adapter: an order for it only raises the engine's fencing number.
constexpr const char* no_adapter = "";

std::uint64_t to_milliseconds(duration time)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(time).count()));
}

std::uint32_t to_count(std::uint64_t tokens)
{
    constexpr std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(tokens, most));
}

work_item make_item(request_number id, const link::run_request& request, bool exclusive,
                    time_point now)
{
    work_item item;
    item.id = id;
    item.team = request.team;
    item.weight = std::max(1.0, static_cast<double>(request.team_weight_milli)) / thousandths;
    if (!request.adapter.adapter.empty()) {
        item.adapter = request.adapter;
    }
    item.prompt_tokens = to_count(request.prompt_tokens);
    item.max_tokens = to_count(request.max_tokens);
    item.deadline = now + std::chrono::milliseconds(request.deadline_ms);
    item.fingerprint = request.fingerprint;
    item.idempotent = request.idempotent;
    item.exclusive = exclusive;
    return item;
}

// Whether this failure may have been caused by a crash of the upstream. An upstream that sent any
// response, even an invalid one, was alive.
bool may_be_crash(const link::failed& failure)
{
    return failure.reason == "upstream_closed" || failure.reason == "upstream_truncated";
}

} // namespace

request_runner::request_runner(boost::asio::any_io_executor executor, upstream_address upstream,
                               runner_options options, runner_events events)
    : executor_(std::move(executor)), timer_(executor_), upstream_(std::move(upstream)),
      options_(std::move(options)), events_(std::move(events)), scheduler_(options_.scheduling),
      suspect_record_(options_.id, options_.start), permits_(options_.load_interval),
      orders_(executor_, upstream_), probe_(executor_, upstream_)
{
}

void request_runner::start()
{
    apply(scheduler_.start(steady_now()));
    tick();
}

void request_runner::submit(const stream_key& key, link::run_request request, emit_function emit)
{
    const auto now = steady_now();
    constexpr bool only_candidate = false;
    const auto verdict = suspect_record_.verdict(request.fingerprint, only_candidate, now);
    if (verdict.how == poison::run_verdict::kind::refuse) {
        emit(link::refused{request.stream, std::string(to_string(refusal_reason::suspect)),
                           to_milliseconds(verdict.retry_after)});
        return;
    }
    emit(link::accepted{request.stream});
    request.exclusive = verdict.how == poison::run_verdict::kind::run_alone;
    const auto id = ++last_number_;
    const auto item = make_item(id, request, request.exclusive, now);
    if (item.adapter) {
        weight_sources_[*item.adapter] = request.adapter_source;
    }
    numbers_[key] = id;
    requests_[id] = {key, std::move(request), std::move(emit), nullptr, std::nullopt};
    apply(scheduler_.on_request(item, now));
}

void request_runner::cancel(const stream_key& key)
{
    const auto found = numbers_.find(key);
    if (found == numbers_.end()) {
        return;
    }
    const auto id = found->second;
    requests_.at(id).output_closed = true;
    const bool runs = requests_.at(id).call != nullptr;
    apply(scheduler_.on_cancel(id, steady_now()));
    if (!runs) {
        release(id);
    }
}

void request_runner::add_window(const stream_key& key, std::uint64_t bytes)
{
    const auto found = numbers_.find(key);
    if (found == numbers_.end()) {
        return;
    }
    if (const auto& call = requests_.at(found->second).call) {
        call->add_window(bytes);
    }
}

void request_runner::drain()
{
    apply(scheduler_.on_drain(steady_now()));
}

void request_runner::merge_suspects(const poison::suspect_digest& digest)
{
    const auto now = steady_now();
    for (const auto print : suspect_record_.merge(digest, now)) {
        if (suspect_record_.table().suspicion_of(print, now) != poison::suspicion::none) {
            apply(scheduler_.on_suspect(print, suspect_retry_after, now));
        }
    }
}

poison::suspect_digest request_runner::suspects() const
{
    return suspect_record_.table().digest(steady_now());
}

link::upstream_report request_runner::report() const
{
    const auto state = scheduler_.state();
    link::upstream_report report;
    report.ready = state.phase == upstream_phase::serving;
    report.leaving =
        state.phase == upstream_phase::draining || state.phase == upstream_phase::drained;
    report.running = to_count(state.running);
    report.queued = to_count(state.queued);
    report.software = software_;
    report.queue_delay_ms = to_milliseconds(state.queue_estimate);
    for (const auto& adapter : state.resident) {
        report.resident.push_back(adapter.str());
    }
    return report;
}

void request_runner::stop()
{
    stopped_ = true;
    timer_.cancel();
    for (auto& [id, request] : requests_) {
        request.output_closed = true;
        if (request.call) {
            request.call->cancel();
        }
    }
}

void request_runner::apply(const scheduler_actions& actions)
{
    for (const auto& action : actions) {
        std::visit([this](const auto& value) { perform(value); }, action);
    }
}

void request_runner::perform(const run& action)
{
    auto& request = requests_.at(action.id);
    request.call = std::make_shared<upstream_call>(
        executor_, upstream_, request.request, software_,
        [this, id = action.id](const link::frame& message) { on_call_frame(id, message); });
    request.call->start([this, id = action.id] { on_call_finished(id); });
}

void request_runner::perform(const cancel_run& action)
{
    requests_.at(action.id).call->cancel();
}

void request_runner::perform(const complete& action)
{
    const auto& request = requests_.at(action.id);
    if (request.final_frame) {
        send_final(action.id, *request.final_frame);
    }
}

void request_runner::perform(const refuse& action)
{
    const auto& request = requests_.at(action.id);
    const bool runs = request.call != nullptr;
    send_final(action.id,
               link::refused{request.request.stream, std::string(to_string(action.reason)),
                             to_milliseconds(action.retry_after)});
    if (!runs) {
        release(action.id);
    }
}

void request_runner::perform(const fail& action)
{
    const auto& request = requests_.at(action.id);
    link::failed message{request.request.stream, action.state,
                         std::string(to_string(action.reason)), 0};
    // The failure reason of the exchange is more specific.
    if (const auto* cause =
            request.final_frame ? std::get_if<link::failed>(&*request.final_frame) : nullptr) {
        message.reason = cause->reason;
    }
    send_final(action.id, message);
}

void request_runner::perform(const load_adapter& action)
{
    orders_.load(action.adapter.str(), weight_sources_[action.adapter], action.fence,
                 [this, action](bool ok) {
                     apply(scheduler_.on_load_done(action.adapter, action.fence, ok, steady_now()));
                     events_.changed();
                 });
}

void request_runner::perform(const evict_adapter& action)
{
    orders_.evict(action.adapter.str(), action.fence, [this, action](bool ok) {
        apply(scheduler_.on_evict_done(action.adapter, action.fence, ok, steady_now()));
    });
}

void request_runner::perform(const raise_fence& action)
{
    orders_.evict(no_adapter, action.fence, [this](bool ok) {
        if (ok) {
            apply(scheduler_.on_fence_raised(steady_now()));
        }
    });
}

void request_runner::perform(const read_upstream& /*action*/)
{
    const auto read_sent_at = steady_now();
    if (!options_.is_engine) {
        boost::asio::post(executor_, [this, read_sent_at] {
            on_probe({probe_result::state::alive, 0, {}}, read_sent_at);
        });
        return;
    }
    probe_.read(
        [this, read_sent_at](const probe_result& result) { on_probe(result, read_sent_at); });
}

void request_runner::perform(const ask_load_permit& action)
{
    boost::asio::post(executor_, [this, action] {
        const auto now = steady_now();
        const duration wait = permits_.take(now);
        apply(scheduler_.on_load_permit(action.adapter, wait == duration{}, wait, now));
    });
}

void request_runner::perform(const release_load_permit& /*action*/) {}

void request_runner::perform(const report_crash& action)
{
    events_.suspects(suspect_record_.on_crash(action.fingerprints, steady_now()));
}

void request_runner::perform(const announce& action)
{
    events_.changed();
    if (action.phase == upstream_phase::drained) {
        events_.drained();
    }
}

void request_runner::on_call_frame(request_number id, const link::frame& message)
{
    auto& request = requests_.at(id);
    const bool is_last = std::holds_alternative<link::done>(message) ||
                         std::holds_alternative<link::failed>(message) ||
                         std::holds_alternative<link::refused>(message);
    if (is_last) {
        request.final_frame = message;
        return;
    }
    if (!request.first_byte_seen && !std::holds_alternative<link::started>(message)) {
        request.first_byte_seen = true;
        // The exchange has already checked the engine's reported model before emitting a frame.
        const std::string echo = request.request.adapter.str();
        apply(scheduler_.on_first_byte(id, echo, steady_now()));
    }
    if (!request.output_closed) {
        request.emit(message);
    }
}

void request_runner::on_call_finished(request_number id)
{
    if (stopped_) {
        return;
    }
    const auto now = steady_now();
    const auto& request = requests_.at(id);
    const auto* completed =
        request.final_frame ? std::get_if<link::done>(&*request.final_frame) : nullptr;
    const bool unsent =
        request.final_frame && std::holds_alternative<link::refused>(*request.final_frame);
    if (completed != nullptr) {
        if (request.request.exclusive) {
            events_.suspects(suspect_record_.on_clean_run_alone(request.request.fingerprint, now));
        }
        const auto tokens = completed->prompt_tokens + completed->total;
        apply(scheduler_.on_done(id, request.request.adapter.str(), tokens, now));
        release(id);
    }
    else if (unsent) {
        apply(scheduler_.on_failed(id, false, now));
        release(id);
    }
    else {
        on_call_failed(id);
    }
}

// Checks for a crash of the upstream before the request is reported as failed, so that the crash is
// recorded with all requests that were in flight.
void request_runner::on_call_failed(request_number id)
{
    const auto failed_at = steady_now();
    const auto& final_frame = requests_.at(id).final_frame;
    const auto* failure = final_frame ? std::get_if<link::failed>(&*final_frame) : nullptr;
    if (failure == nullptr || !may_be_crash(*failure) || !options_.is_engine) {
        apply(scheduler_.on_failed(id, true, failed_at));
        release(id);
        return;
    }
    probe_.read([this, id, failed_at](const probe_result& result) {
        on_probe(result, failed_at);
        apply(scheduler_.on_failed(id, true, steady_now()));
        release(id);
    });
}

void request_runner::on_probe(const probe_result& result, time_point read_sent_at)
{
    const auto now = steady_now();
    if (result.engine_state == probe_result::state::alive) {
        down_ = false;
        software_ = result.software;
        apply(scheduler_.on_upstream_read(result.incarnation, result.resident_adapters,
                                          read_sent_at, now));
    }
    else if (result.engine_state == probe_result::state::down && !std::exchange(down_, true)) {
        apply(scheduler_.on_upstream_crashed(now));
    }
}

void request_runner::send_final(request_number id, const link::frame& message)
{
    auto& request = requests_.at(id);
    if (!std::exchange(request.output_closed, true)) {
        request.emit(message);
    }
}

void request_runner::release(request_number id)
{
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
        numbers_.erase(found->second.key);
        requests_.erase(found);
    }
}

void request_runner::tick()
{
    if (stopped_) {
        return;
    }
    const auto now = steady_now();
    apply(scheduler_.on_tick(now));
    suspect_record_.on_tick(now);
    if (options_.is_engine && now >= next_probe_) {
        next_probe_ = now + probe_interval;
        perform(read_upstream{});
        events_.changed();
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const auto& error) {
        if (!error) {
            tick();
        }
    });
}

} // namespace snipespar::agent
