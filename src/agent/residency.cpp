#include "agent/residency.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace snipespar::agent {

namespace {

// Number of entries above which idle ones without a slot are erased.
constexpr std::size_t max_entries = 4096;
constexpr int load_time_smoothing = 8;

// Time after which a query to the upstream that got no response is sent again.
constexpr duration query_timeout = std::chrono::seconds(1);

// Time after which a permit request without a response is abandoned.
constexpr duration permit_timeout = std::chrono::seconds(5);

void append(scheduler_actions& to, scheduler_actions more)
{
    std::ranges::move(more, std::back_inserter(to));
}

} // namespace

residency::residency(residency_options options)
    : options_(options), fence_(options.first_fence), expected_load_time_(options.initial_load_time)
{
}

scheduler_actions residency::start(time_point now)
{
    if (options_.slots == 0) {
        recovered_ = true;
        return {};
    }
    if (options_.checks_fencing) {
        last_query_at_ = now;
        return {raise_fence{++fence_}};
    }
    earliest_valid_read_ = now + options_.longest_order_time;
    return {};
}

scheduler_actions residency::on_fence_raised(time_point now)
{
    if (recovered_) {
        return {};
    }
    earliest_valid_read_ = now;
    return read(now);
}

scheduler_actions residency::read(time_point now)
{
    last_query_at_ = now;
    return {read_upstream{}};
}

scheduler_actions residency::on_tick(time_point now)
{
    erase_idle(now);
    expire_permit_requests(now);
    if (now - last_query_at_ < query_timeout) {
        return {};
    }
    if (!recovered_ && !earliest_valid_read_) {
        last_query_at_ = now;
        return {raise_fence{++fence_}};
    }
    return needs_read(now) ? read(now) : scheduler_actions{};
}

bool residency::needs_read(time_point now) const
{
    if (!recovered_) {
        return now >= *earliest_valid_read_;
    }
    return std::ranges::any_of(adapters_, [](const auto& adapter) {
        return adapter.second.phase == adapter_phase::uncertain;
    });
}

void residency::expire_permit_requests(time_point now)
{
    for (auto& [ref, adapter] : adapters_) {
        const bool is_expired = now - adapter.changed_at >= permit_timeout;
        if (adapter.phase == adapter_phase::awaiting_permit && is_expired) {
            adapter.phase = adapter_phase::absent;
        }
    }
}

bool residency::is_ready(const adapter_ref& adapter) const
{
    const auto found = adapters_.find(adapter);
    return recovered_ && found != adapters_.end() &&
           found->second.phase == adapter_phase::resident && !found->second.closed;
}

void residency::pin(const adapter_ref& adapter, std::uint64_t tokens, time_point now)
{
    assert(is_ready(adapter));
    auto& state = adapters_.at(adapter);
    ++state.pins;
    state.demand = demand_of(state, now) + static_cast<double>(tokens);
    state.demand_at = now;
}

void residency::unpin(const adapter_ref& adapter)
{
    const auto found = adapters_.find(adapter);
    assert(found != adapters_.end() && found->second.pins > 0);
    --found->second.pins;
}

scheduler_actions residency::mark_uncertain(const adapter_ref& adapter, time_point now)
{
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end() || found->second.phase != adapter_phase::resident) {
        return {};
    }
    found->second.phase = adapter_phase::uncertain;
    found->second.changed_at = now;
    return read(now);
}

bool residency::occupies_slot(const entry& adapter)
{
    return adapter.phase == adapter_phase::loading || adapter.phase == adapter_phase::resident ||
           adapter.phase == adapter_phase::evicting || adapter.phase == adapter_phase::uncertain;
}

std::size_t residency::used_slots() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        adapters_, [](const auto& adapter) { return occupies_slot(adapter.second); }));
}

double residency::demand_of(const entry& adapter, time_point now) const
{
    const std::chrono::duration<double> age = now - adapter.demand_at;
    const std::chrono::duration<double> half_life = options_.demand_half_life;
    return adapter.demand * std::exp2(-age.count() / half_life.count());
}

residency::entry_map::iterator residency::find_victim(bool allow_queued, time_point now)
{
    auto victim = adapters_.end();
    for (auto it = adapters_.begin(); it != adapters_.end(); ++it) {
        const auto& state = it->second;
        const bool evictable = state.phase == adapter_phase::resident && state.pins == 0;
        if (!evictable || (state.queued && !state.closed && !allow_queued)) {
            continue;
        }
        if (victim == adapters_.end() || state.closed ||
            demand_of(state, now) < demand_of(victim->second, now)) {
            victim = it;
        }
        if (state.closed) {
            break;
        }
    }
    return victim;
}

void residency::close_least_demanded(time_point now)
{
    auto chosen = adapters_.end();
    for (auto it = adapters_.begin(); it != adapters_.end(); ++it) {
        const auto& state = it->second;
        if (state.closed || state.phase == adapter_phase::evicting) {
            return; // One slot is already being freed.
        }
        if (state.phase == adapter_phase::resident &&
            (chosen == adapters_.end() || demand_of(state, now) < demand_of(chosen->second, now))) {
            chosen = it;
        }
    }
    if (chosen != adapters_.end()) {
        chosen->second.closed = true;
    }
}

void residency::mark_queued(std::span<const queued_adapter> queued)
{
    for (auto& [ref, state] : adapters_) {
        state.queued = false;
    }
    for (const auto& candidate : queued) {
        adapters_[candidate.adapter].queued = true;
    }
}

scheduler_actions residency::plan(std::span<const queued_adapter> queued, time_point now)
{
    if (!recovered_ || options_.slots == 0) {
        return {};
    }
    mark_queued(queued);
    reopen_unless_overdue(queued, now);
    scheduler_actions actions = assign_slots(now);
    for (const auto& candidate : queued) {
        append(actions, request_permit(candidate, now));
    }
    return actions;
}

void residency::reopen_unless_overdue(std::span<const queued_adapter> queued, time_point now)
{
    const bool overdue = std::ranges::any_of(queued, [&](const queued_adapter& candidate) {
        const auto phase = adapters_.at(candidate.adapter).phase;
        const bool without_slot = phase == adapter_phase::absent ||
                                  phase == adapter_phase::awaiting_permit ||
                                  phase == adapter_phase::awaiting_slot;
        return without_slot && now - candidate.queued_since >= options_.slot_wait_limit;
    });
    if (overdue) {
        return;
    }
    for (auto& [ref, adapter] : adapters_) {
        adapter.closed = false;
    }
}

scheduler_actions residency::request_permit(const queued_adapter& candidate, time_point now)
{
    auto& adapter = adapters_[candidate.adapter];
    if (adapter.phase != adapter_phase::absent || now < adapter.next_attempt_at) {
        return {};
    }
    const bool overdue = now - candidate.queued_since >= options_.slot_wait_limit;
    const auto requested =
        static_cast<std::size_t>(std::ranges::count_if(adapters_, [](const auto& other) {
            return other.second.phase == adapter_phase::awaiting_permit ||
                   other.second.phase == adapter_phase::awaiting_slot;
        }));
    const auto evictable =
        static_cast<std::size_t>(std::ranges::count_if(adapters_, [](const auto& other) {
            const auto& state = other.second;
            return state.phase == adapter_phase::resident && state.pins == 0 &&
                   (!state.queued || state.closed);
        }));
    const std::size_t available =
        options_.slots - std::min<std::size_t>(used_slots(), options_.slots) + evictable;
    if (requested >= available) {
        if (overdue) {
            close_least_demanded(now);
        }
        return {};
    }
    adapter.phase = adapter_phase::awaiting_permit;
    adapter.changed_at = now;
    return {ask_load_permit{candidate.adapter}};
}

scheduler_actions residency::on_permit(const adapter_ref& adapter, bool granted,
                                       duration retry_after, time_point now)
{
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end() || found->second.phase != adapter_phase::awaiting_permit) {
        return granted ? scheduler_actions{release_load_permit{adapter}} : scheduler_actions{};
    }
    found->second.changed_at = now;
    if (!granted) {
        found->second.phase = adapter_phase::absent;
        found->second.next_attempt_at = now + retry_after;
        return {};
    }
    found->second.phase = adapter_phase::awaiting_slot;
    return assign_slot(found, now);
}

scheduler_actions residency::assign_slot(entry_map::iterator adapter, time_point now)
{
    if (!adapter->second.queued) {
        adapter->second.phase = adapter_phase::absent;
        return {release_load_permit{adapter->first}};
    }
    if (used_slots() < options_.slots) {
        return load(adapter, now);
    }
    const auto is_freeing = [](const auto& other) {
        return other.second.phase == adapter_phase::evicting ||
               other.second.phase == adapter_phase::uncertain;
    };
    const auto being_freed = std::ranges::count_if(adapters_, is_freeing);
    const auto waiting_for_slot = std::ranges::count_if(adapters_, [](const auto& other) {
        return other.second.phase == adapter_phase::awaiting_slot;
    });
    if (being_freed >= waiting_for_slot) {
        return {};
    }
    const auto victim = find_victim(false, now);
    if (victim == adapters_.end()) {
        // Returns the permit, as others can use it before a slot becomes free here.
        adapter->second.phase = adapter_phase::absent;
        return {release_load_permit{adapter->first}};
    }
    assert(victim->second.pins == 0);
    victim->second.phase = adapter_phase::evicting;
    victim->second.changed_at = now;
    victim->second.order_fence = ++fence_;
    return {evict_adapter{victim->first, fence_}};
}

scheduler_actions residency::assign_slots(time_point now)
{
    scheduler_actions actions;
    for (auto it = adapters_.begin(); it != adapters_.end(); ++it) {
        if (it->second.phase == adapter_phase::awaiting_slot) {
            append(actions, assign_slot(it, now));
        }
    }
    return actions;
}

scheduler_actions residency::load(entry_map::iterator adapter, time_point now)
{
    adapter->second.phase = adapter_phase::loading;
    adapter->second.changed_at = now;
    adapter->second.order_fence = ++fence_;
    return {load_adapter{adapter->first, fence_}};
}

scheduler_actions residency::on_load_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                          time_point now)
{
    const auto found = adapters_.find(adapter);
    scheduler_actions actions{release_load_permit{adapter}};
    if (found == adapters_.end() || found->second.phase != adapter_phase::loading ||
        found->second.order_fence != fence) {
        return actions;
    }
    auto& state = found->second;
    if (ok) {
        expected_load_time_ += (now - state.changed_at - expected_load_time_) / load_time_smoothing;
        state.phase = adapter_phase::resident;
        state.closed = false;
        state.failures = 0;
        state.changed_at = now;
        return actions;
    }
    state.phase = adapter_phase::uncertain;
    state.changed_at = now;
    back_off(state, now);
    append(actions, read(now));
    return actions;
}

void residency::back_off(entry& adapter, time_point now) const
{
    constexpr std::uint32_t max_doublings = 16;
    const auto doublings = std::min(adapter.failures, max_doublings);
    const auto backoff = options_.first_backoff * (1 << doublings);
    adapter.next_attempt_at = now + std::min<duration>(backoff, options_.max_backoff);
    ++adapter.failures;
}

scheduler_actions residency::on_evict_done(const adapter_ref& adapter, fencing_number fence,
                                           bool ok, time_point now)
{
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end() || found->second.phase != adapter_phase::evicting ||
        found->second.order_fence != fence) {
        return {};
    }
    auto& state = found->second;
    state.changed_at = now;
    state.closed = false;
    if (!ok) {
        state.phase = adapter_phase::uncertain;
        return read(now);
    }
    state.phase = adapter_phase::absent;
    return assign_slots(now);
}

scheduler_actions residency::on_upstream_read(const std::set<adapter_ref>& resident_adapters,
                                              time_point read_sent_at, time_point now)
{
    for (const auto& ref : resident_adapters) {
        auto& adapter = adapters_[ref];
        const bool may_update =
            adapter.phase == adapter_phase::absent || adapter.phase == adapter_phase::uncertain;
        if (may_update && adapter.changed_at <= read_sent_at) {
            adapter.phase = adapter_phase::resident;
            adapter.closed = false;
            adapter.changed_at = now;
        }
    }
    for (auto& [ref, adapter] : adapters_) {
        const bool may_update =
            adapter.phase == adapter_phase::resident || adapter.phase == adapter_phase::uncertain;
        if (may_update && !resident_adapters.contains(ref) && adapter.changed_at <= read_sent_at) {
            adapter.phase = adapter_phase::absent;
            adapter.closed = false;
            adapter.changed_at = now;
        }
    }
    recovered_ = recovered_ || (earliest_valid_read_ && read_sent_at >= *earliest_valid_read_);
    return assign_slots(now);
}

scheduler_actions residency::on_upstream_restarted()
{
    scheduler_actions actions;
    for (auto& [ref, adapter] : adapters_) {
        if (adapter.phase == adapter_phase::awaiting_slot) {
            actions.emplace_back(release_load_permit{ref});
        }
        // The permits of loads in flight are released when their end is reported.
        const bool permit_requested = adapter.phase == adapter_phase::awaiting_permit;
        adapter.phase = permit_requested ? adapter_phase::awaiting_permit : adapter_phase::absent;
        adapter.closed = false;
    }
    return actions;
}

time_point residency::earliest_ready(const adapter_ref& adapter, time_point now) const
{
    if (!recovered_) {
        return std::max(now, earliest_valid_read_.value_or(now));
    }
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end()) {
        return now + expected_load_time_;
    }
    const auto& state = found->second;
    switch (state.phase) {
    case adapter_phase::resident:
        return now;
    case adapter_phase::loading:
        return std::max(now, state.changed_at + expected_load_time_);
    case adapter_phase::absent:
    case adapter_phase::uncertain:
        return std::max(now, state.next_attempt_at) + expected_load_time_;
    case adapter_phase::awaiting_permit:
    case adapter_phase::awaiting_slot:
    case adapter_phase::evicting:
        break;
    }
    return now + expected_load_time_;
}

bool residency::is_load_failing(const adapter_ref& adapter, time_point now) const
{
    const auto found = adapters_.find(adapter);
    return found != adapters_.end() && found->second.failures >= options_.max_load_failures &&
           now < found->second.next_attempt_at;
}

adapter_phase residency::phase_of(const adapter_ref& adapter) const
{
    const auto found = adapters_.find(adapter);
    return found == adapters_.end() ? adapter_phase::absent : found->second.phase;
}

std::uint32_t residency::pins_of(const adapter_ref& adapter) const
{
    const auto found = adapters_.find(adapter);
    return found == adapters_.end() ? 0 : found->second.pins;
}

std::vector<adapter_ref> residency::resident() const
{
    std::vector<adapter_ref> refs;
    for (const auto& [ref, adapter] : adapters_) {
        if (adapter.phase == adapter_phase::resident) {
            refs.push_back(ref);
        }
    }
    return refs;
}

void residency::erase_idle(time_point now)
{
    if (adapters_.size() <= max_entries) {
        return;
    }
    std::erase_if(adapters_, [now](const auto& adapter) {
        const auto& state = adapter.second;
        return state.phase == adapter_phase::absent && state.pins == 0 && !state.queued &&
               now >= state.next_attempt_at;
    });
}

} // namespace snipespar::agent
