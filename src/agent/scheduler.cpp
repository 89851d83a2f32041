#include "agent/scheduler.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace snipespar::agent {

namespace {

constexpr duration min_retry_after = std::chrono::milliseconds(100);

void append(scheduler_actions& to, scheduler_actions more)
{
    std::ranges::move(more, std::back_inserter(to));
}

} // namespace

scheduler::scheduler(scheduler_options options)
    : options_(options), queue_(options.max_queued), residency_(options.residency),
      rate_(options.initial_token_time, options.max_running)
{
}

scheduler_actions scheduler::start(time_point now)
{
    return advance(residency_.start(now), now);
}

scheduler_actions scheduler::on_request(work_item item, time_point now)
{
    if (const auto refusal = reason_to_refuse(item, now)) {
        return {*refusal};
    }
    scheduler_actions actions;
    if (const auto displaced = queue_.push(std::move(item), now)) {
        const auto wait = rate_.time_of(queue_.tokens_ahead(displaced->team, displaced->weight));
        actions.emplace_back(
            refuse{displaced->id, refusal_reason::queue_full, std::max(wait, min_retry_after)});
    }
    return advance(std::move(actions), now);
}

std::optional<refuse> scheduler::reason_to_refuse(const work_item& item, time_point now) const
{
    if (draining_) {
        return refuse{item.id, refusal_reason::draining, min_retry_after};
    }
    if (!up_) {
        return refuse{item.id, refusal_reason::upstream_down, options_.restart_estimate};
    }
    if (const auto hopeless = reason_to_give_up(item, now)) {
        return hopeless;
    }
    const auto start = now + wait_estimate(item, now);
    if (start > item.deadline) {
        const auto pause = std::max(start - item.deadline, min_retry_after);
        return refuse{item.id, refusal_reason::deadline, pause};
    }
    return std::nullopt;
}

std::optional<refuse> scheduler::reason_to_give_up(const work_item& item, time_point now) const
{
    if (now > item.deadline) {
        return refuse{item.id, refusal_reason::deadline, min_retry_after};
    }
    if (!item.adapter) {
        return std::nullopt;
    }
    const auto ready = residency_.earliest_ready(*item.adapter, now);
    const auto retry_after = std::max(ready - now, min_retry_after);
    if (residency_.is_given_up(*item.adapter, now)) {
        return refuse{item.id, refusal_reason::load_failed, retry_after};
    }
    if (ready > item.deadline) {
        return refuse{item.id, refusal_reason::deadline, retry_after};
    }
    return std::nullopt;
}

duration scheduler::wait_estimate(const work_item& item, time_point now) const
{
    duration load{};
    if (item.adapter) {
        load = residency_.earliest_ready(*item.adapter, now) - now;
    }
    if (running_.size() < options_.max_running && queue_.empty()) {
        return load;
    }
    const double ahead = queue_.tokens_ahead(item.team, item.weight);
    return std::max(load, rate_.time_of(ahead) + time_to_free_run());
}

duration scheduler::time_to_free_run() const
{
    if (running_.size() < options_.max_running) {
        return {};
    }
    double tokens = 0;
    for (const auto& [id, entry] : running_) {
        tokens += static_cast<double>(entry.item.cost());
    }
    return rate_.time_of(tokens / options_.max_running);
}

scheduler_actions scheduler::on_cancel(request_number id, time_point now)
{
    scheduler_actions actions;
    if (queue_.erase(id)) {
        return advance(std::move(actions), now);
    }
    const auto found = running_.find(id);
    if (found != running_.end() && !found->second.abandoned) {
        found->second.abandoned = true;
        actions.emplace_back(cancel_run{id});
    }
    return actions;
}

bool scheduler::echoes(const work_item& item, std::string_view model)
{
    return !item.adapter || item.adapter->str() == model;
}

void scheduler::abandon(running_item& entry, failure_reason reason,
                        scheduler_actions& actions) const
{
    if (!entry.abandoned) {
        entry.abandoned = true;
        const bool certain = reason == failure_reason::wrong_adapter;
        actions.emplace_back(
            fail{entry.item.id, certain ? run_state::ran : run_state::unknown, reason});
    }
}

scheduler_actions scheduler::on_first_byte(request_number id, std::string_view model,
                                           time_point now)
{
    const auto found = running_.find(id);
    if (found == running_.end() || found->second.abandoned || echoes(found->second.item, model)) {
        return {};
    }
    scheduler_actions actions{cancel_run{id}, read_upstream{}};
    abandon(found->second, failure_reason::wrong_adapter, actions);
    return advance(std::move(actions), now);
}

scheduler_actions scheduler::on_done(request_number id, std::string_view model,
                                     std::uint64_t tokens, time_point now)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return {};
    }
    scheduler_actions actions;
    auto& entry = found->second;
    if (!echoes(entry.item, model)) {
        actions.emplace_back(read_upstream{});
        abandon(entry, failure_reason::wrong_adapter, actions);
    }
    else if (!entry.abandoned) {
        actions.emplace_back(complete{id});
    }
    rate_.on_request_done(tokens, now - entry.started);
    queue_.settle(entry.item.team, entry.item.cost(), std::max<std::uint64_t>(tokens, 1));
    end_run(found);
    return advance(std::move(actions), now);
}

scheduler_actions scheduler::on_failed(request_number id, bool sent, time_point now)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return {};
    }
    scheduler_actions actions;
    if (!sent && !found->second.abandoned) {
        actions.emplace_back(refuse{id, refusal_reason::upstream_down, options_.restart_estimate});
    }
    else if (!found->second.abandoned) {
        abandon(found->second, failure_reason::upstream_failed, actions);
        if (found->second.item.adapter) {
            append(actions, residency_.suspect(*found->second.item.adapter, now));
        }
    }
    end_run(found);
    return advance(std::move(actions), now);
}

void scheduler::end_run(running_map::iterator ended)
{
    if (ended->second.item.adapter) {
        residency_.unpin(*ended->second.item.adapter);
    }
    running_.erase(ended);
}

scheduler_actions scheduler::on_load_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                          time_point now)
{
    return advance(residency_.on_load_done(adapter, fence, ok, now), now);
}

scheduler_actions scheduler::on_evict_done(const adapter_ref& adapter, fencing_number fence,
                                           bool ok, time_point now)
{
    return advance(residency_.on_evict_done(adapter, fence, ok, now), now);
}

scheduler_actions scheduler::on_fence_raised(time_point now)
{
    return advance(residency_.on_fence_raised(now), now);
}

scheduler_actions scheduler::on_load_permit(const adapter_ref& adapter, bool granted,
                                            duration retry_after, time_point now)
{
    return advance(residency_.on_permit(adapter, granted, retry_after, now), now);
}

void scheduler::fail_all_running(scheduler_actions& actions)
{
    report_crash death;
    for (const auto& [id, entry] : running_) {
        death.fingerprints.push_back(entry.item.fingerprint);
    }
    if (!death.fingerprints.empty()) {
        actions.emplace_back(std::move(death));
    }
    for (auto& [id, entry] : running_) {
        abandon(entry, failure_reason::upstream_died, actions);
    }
    while (!running_.empty()) {
        end_run(running_.begin());
    }
}

scheduler_actions scheduler::on_upstream_crashed(time_point now)
{
    up_ = false;
    scheduler_actions actions;
    fail_all_running(actions);
    // Other upstreams can take the queued work at once, as none of it ran.
    for (const auto& waiting : queue_.in_fair_order()) {
        queue_.erase(waiting.item.id);
        actions.emplace_back(
            refuse{waiting.item.id, refusal_reason::upstream_down, options_.restart_estimate});
    }
    append(actions, residency_.on_upstream_restarted());
    return advance(std::move(actions), now);
}

scheduler_actions scheduler::on_upstream_read(std::uint64_t incarnation,
                                              const std::set<adapter_ref>& held,
                                              time_point asked_at, time_point now)
{
    scheduler_actions actions;
    const bool restarted = incarnation_ && *incarnation_ != incarnation;
    if (restarted && up_) {
        fail_all_running(actions);
        append(actions, residency_.on_upstream_restarted());
    }
    incarnation_ = incarnation;
    up_ = true;
    append(actions, residency_.on_upstream_read(held, asked_at, now));
    return advance(std::move(actions), now);
}

scheduler_actions scheduler::on_suspect(std::uint64_t fingerprint, duration retry_after,
                                        time_point now)
{
    scheduler_actions actions;
    for (const auto& waiting : queue_.in_fair_order()) {
        if (waiting.item.fingerprint == fingerprint && !waiting.item.exclusive) {
            queue_.erase(waiting.item.id);
            actions.emplace_back(refuse{waiting.item.id, refusal_reason::suspect, retry_after});
        }
    }
    return advance(std::move(actions), now);
}

scheduler_actions scheduler::on_drain(time_point now)
{
    draining_ = true;
    return advance({}, now);
}

scheduler_actions scheduler::on_tick(time_point now)
{
    return advance(residency_.on_tick(now), now);
}

bool scheduler::is_runnable(const work_item& item) const
{
    return !item.adapter || residency_.is_ready(*item.adapter);
}

void scheduler::refuse_hopeless(scheduler_actions& actions, time_point now)
{
    for (const auto& waiting : queue_.in_fair_order()) {
        if (const auto refusal = reason_to_give_up(waiting.item, now)) {
            queue_.erase(waiting.item.id);
            actions.emplace_back(*refusal);
        }
    }
}

void scheduler::dispatch(scheduler_actions& actions, time_point now)
{
    const auto runnable = [this](const work_item& item) { return is_runnable(item); };
    while (up_ && running_.size() < options_.max_running) {
        const work_item* next = queue_.next(runnable);
        const bool alone = std::ranges::any_of(
            running_, [](const auto& entry) { return entry.second.item.exclusive; });
        if (next == nullptr || alone || (next->exclusive && !running_.empty())) {
            return;
        }
        start_one(*next, actions, now);
    }
}

void scheduler::start_one(const work_item& next, scheduler_actions& actions, time_point now)
{
    work_item item = queue_.take(next.id);
    if (item.adapter) {
        residency_.pin(*item.adapter, item.cost(), now);
    }
    const auto id = item.id;
    actions.emplace_back(run{id});
    running_.emplace(id, running_item{std::move(item), now, false});
}

std::vector<adapter_want> scheduler::wanted_adapters() const
{
    std::vector<adapter_want> wanted;
    for (const auto& waiting : queue_.in_fair_order()) {
        if (!waiting.item.adapter) {
            continue;
        }
        const auto known = std::ranges::find(wanted, *waiting.item.adapter, &adapter_want::adapter);
        if (known == wanted.end()) {
            wanted.push_back({*waiting.item.adapter, waiting.arrived});
        }
        else {
            known->since = std::min(known->since, waiting.arrived);
        }
    }
    return wanted;
}

scheduler_actions scheduler::advance(scheduler_actions actions, time_point now)
{
    refuse_hopeless(actions, now);
    dispatch(actions, now);
    if (up_) {
        append(actions, residency_.plan(wanted_adapters(), now));
        dispatch(actions, now);
    }
    announce_change(actions);
    return actions;
}

upstream_phase scheduler::phase() const
{
    if (draining_) {
        const bool idle = running_.empty() && queue_.empty();
        return idle ? upstream_phase::drained : upstream_phase::draining;
    }
    if (!up_) {
        return upstream_phase::down;
    }
    return residency_.recovered() ? upstream_phase::serving : upstream_phase::recovering;
}

void scheduler::announce_change(scheduler_actions& actions)
{
    if (announced_ != phase()) {
        announced_ = phase();
        actions.emplace_back(announce{*announced_});
    }
}

scheduler_state scheduler::state() const
{
    scheduler_state current;
    current.phase = phase();
    current.queued = queue_.size();
    current.running = running_.size();
    current.queue_estimate = rate_.time_of(queue_.queued_tokens()) + time_to_free_run();
    current.resident = residency_.resident();
    return current;
}

} // namespace snipespar::agent
