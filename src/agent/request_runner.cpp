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

// When a queued request that became suspect may be placed anew.
constexpr duration replace_after = std::chrono::milliseconds(100);

// Name of no adapter: an order about it changes nothing but the engine's fencing number.
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

// Whether an exchange that failed like this may have been cut off by the upstream's death. An
// upstream that answered, however badly, was alive.
bool may_be_death(const link::failed& failure)
{
    return failure.reason == "upstream_closed" || failure.reason == "upstream_truncated";
}

} // namespace

request_runner::request_runner(boost::asio::any_io_executor executor, upstream_address upstream,
                               runner_options options, runner_events events)
    : executor_(std::move(executor)), timer_(executor_), upstream_(std::move(upstream)),
      options_(std::move(options)), events_(std::move(events)), scheduler_(options_.scheduling),
      record_(options_.id, options_.start), permits_(options_.load_interval),
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
    constexpr bool sole = false;
    const auto verdict = record_.verdict(request.fingerprint, sole, now);
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
        sources_[*item.adapter] = request.adapter_source;
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
    requests_.at(id).answered = true;
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
    for (const auto print : record_.merge(digest, now)) {
        if (record_.table().of(print, now) != poison::suspicion::none) {
            apply(scheduler_.on_suspect(print, replace_after, now));
        }
    }
}

poison::suspect_digest request_runner::suspects() const
{
    return record_.table().digest(steady_now());
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
        request.answered = true;
        if (request.call) {
            request.call->cancel();
        }
    }
}

void request_runner::apply(const scheduler_actions& actions)
{
    for (const auto& action : actions) {
        std::visit([this](const auto& value) { carry_out(value); }, action);
    }
}

void request_runner::carry_out(const run& action)
{
    auto& request = requests_.at(action.id);
    request.call = std::make_shared<upstream_call>(
        executor_, upstream_, request.request,
        [this, id = action.id](const link::frame& message) { on_call_frame(id, message); });
    request.call->start([this, id = action.id] { on_call_finished(id); });
}

void request_runner::carry_out(const cancel_run& action)
{
    requests_.at(action.id).call->cancel();
}

void request_runner::carry_out(const complete& action)
{
    const auto& request = requests_.at(action.id);
    if (request.last) {
        answer(action.id, *request.last);
    }
}

void request_runner::carry_out(const refuse& action)
{
    const auto& request = requests_.at(action.id);
    const bool runs = request.call != nullptr;
    answer(action.id, link::refused{request.request.stream, std::string(to_string(action.reason)),
                                    to_milliseconds(action.retry_after)});
    if (!runs) {
        release(action.id);
    }
}

void request_runner::carry_out(const fail& action)
{
    const auto& request = requests_.at(action.id);
    link::failed message{request.request.stream, action.state,
                         std::string(to_string(action.reason)), 0};
    // The exchange knows more than that it failed.
    if (const auto* cause = request.last ? std::get_if<link::failed>(&*request.last) : nullptr) {
        message.reason = cause->reason;
    }
    answer(action.id, message);
}

void request_runner::carry_out(const load_adapter& action)
{
    orders_.load(action.adapter.str(), sources_[action.adapter], action.fence,
                 [this, action](bool ok) {
                     apply(scheduler_.on_load_done(action.adapter, action.fence, ok, steady_now()));
                     events_.changed();
                 });
}

void request_runner::carry_out(const evict_adapter& action)
{
    orders_.evict(action.adapter.str(), action.fence, [this, action](bool ok) {
        apply(scheduler_.on_evict_done(action.adapter, action.fence, ok, steady_now()));
    });
}

void request_runner::carry_out(const raise_fence& action)
{
    orders_.evict(no_adapter, action.fence, [this](bool ok) {
        if (ok) {
            apply(scheduler_.on_fence_raised(steady_now()));
        }
    });
}

void request_runner::carry_out(const read_upstream& /*action*/)
{
    const auto asked_at = steady_now();
    if (!options_.is_engine) {
        boost::asio::post(executor_, [this, asked_at] {
            on_probe({probe_result::state::alive, 0, {}}, asked_at);
        });
        return;
    }
    probe_.read([this, asked_at](const probe_result& result) { on_probe(result, asked_at); });
}

void request_runner::carry_out(const ask_load_permit& action)
{
    boost::asio::post(executor_, [this, action] {
        const auto now = steady_now();
        const duration wait = permits_.take(now);
        apply(scheduler_.on_load_permit(action.adapter, wait == duration{}, wait, now));
    });
}

void request_runner::carry_out(const release_load_permit& /*action*/) {}

void request_runner::carry_out(const report_crash& action)
{
    events_.suspects(record_.on_death(action.fingerprints, steady_now()));
}

void request_runner::carry_out(const announce& action)
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
        request.last = message;
        return;
    }
    if (!request.first_seen && !std::holds_alternative<link::started>(message)) {
        request.first_seen = true;
        // The exchange has compared the engine's echo with the adapter before it emits anything.
        const std::string echo = request.request.adapter.str();
        apply(scheduler_.on_first_byte(id, echo, steady_now()));
    }
    if (!request.answered) {
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
    const auto* whole = request.last ? std::get_if<link::done>(&*request.last) : nullptr;
    const bool unsent = request.last && std::holds_alternative<link::refused>(*request.last);
    if (whole != nullptr) {
        if (request.request.exclusive) {
            events_.suspects(record_.on_clean_run_alone(request.request.fingerprint, now));
        }
        const auto tokens = whole->prompt_tokens + whole->total;
        apply(scheduler_.on_done(id, request.request.adapter.str(), tokens, now));
        release(id);
    }
    else if (unsent) {
        apply(scheduler_.on_failed(id, false, now));
        release(id);
    }
    else {
        on_call_broken(id);
    }
}

// Finds out whether the upstream died before the request is reported as failed, so that the death
// is known with everything that was in flight.
void request_runner::on_call_broken(request_number id)
{
    const auto asked_at = steady_now();
    const auto& last = requests_.at(id).last;
    const auto* failure = last ? std::get_if<link::failed>(&*last) : nullptr;
    if (failure == nullptr || !may_be_death(*failure) || !options_.is_engine) {
        apply(scheduler_.on_failed(id, true, asked_at));
        release(id);
        return;
    }
    probe_.read([this, id, asked_at](const probe_result& result) {
        on_probe(result, asked_at);
        apply(scheduler_.on_failed(id, true, steady_now()));
        release(id);
    });
}

void request_runner::on_probe(const probe_result& result, time_point asked_at)
{
    const auto now = steady_now();
    if (result.is == probe_result::state::alive) {
        down_ = false;
        apply(scheduler_.on_upstream_read(result.incarnation, result.held, asked_at, now));
    }
    else if (result.is == probe_result::state::down && !std::exchange(down_, true)) {
        apply(scheduler_.on_upstream_crashed(now));
    }
}

void request_runner::answer(request_number id, const link::frame& message)
{
    auto& request = requests_.at(id);
    if (!std::exchange(request.answered, true)) {
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
    record_.on_tick(now);
    if (options_.is_engine && now >= next_probe_) {
        next_probe_ = now + probe_interval;
        carry_out(read_upstream{});
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
