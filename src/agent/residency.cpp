#include "agent/residency.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace snipespar::agent {

namespace {

// Entries that hold no slot are forgotten once there are this many.
constexpr std::size_t max_remembered = 4096;
constexpr int load_time_smoothing = 8;

// Time after which a question to the upstream without an answer is asked again.
constexpr duration question_timeout = std::chrono::seconds(1);

// Time after which a permit that was asked for no longer counts as coming.
constexpr duration permit_timeout = std::chrono::seconds(5);

void append(scheduler_actions& to, scheduler_actions more)
{
    std::ranges::move(more, std::back_inserter(to));
}

} // namespace

residency::residency(residency_options options)
    : options_(options), fence_(options.first_fence), load_time_(options.initial_load_time)
{
}

scheduler_actions residency::start(time_point now)
{
    if (options_.slots == 0) {
        recovered_ = true;
        return {};
    }
    if (options_.checks_fencing) {
        asked_at_ = now;
        return {raise_fence{++fence_}};
    }
    readable_from_ = now + options_.longest_order_time;
    return {};
}

scheduler_actions residency::on_fence_raised(time_point now)
{
    if (recovered_) {
        return {};
    }
    readable_from_ = now;
    return read(now);
}

scheduler_actions residency::read(time_point now)
{
    asked_at_ = now;
    return {read_upstream{}};
}

scheduler_actions residency::on_tick(time_point now)
{
    forget_idle(now);
    drop_old_questions(now);
    if (now - asked_at_ < question_timeout) {
        return {};
    }
    if (!recovered_ && !readable_from_) {
        asked_at_ = now;
        return {raise_fence{++fence_}};
    }
    return lacks_read(now) ? read(now) : scheduler_actions{};
}

bool residency::lacks_read(time_point now) const
{
    if (!recovered_) {
        return now >= *readable_from_;
    }
    return std::ranges::any_of(adapters_, [](const auto& adapter) {
        return adapter.second.phase == adapter_phase::uncertain;
    });
}

void residency::drop_old_questions(time_point now)
{
    for (auto& [ref, adapter] : adapters_) {
        const bool old = now - adapter.changed_at >= permit_timeout;
        if (adapter.phase == adapter_phase::asking && old) {
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
    auto& held = adapters_.at(adapter);
    ++held.pins;
    held.demand = demand_of(held, now) + static_cast<double>(tokens);
    held.demand_at = now;
}

void residency::unpin(const adapter_ref& adapter)
{
    const auto found = adapters_.find(adapter);
    assert(found != adapters_.end() && found->second.pins > 0);
    --found->second.pins;
}

scheduler_actions residency::suspect(const adapter_ref& adapter, time_point now)
{
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end() || found->second.phase != adapter_phase::resident) {
        return {};
    }
    found->second.phase = adapter_phase::uncertain;
    found->second.changed_at = now;
    return read(now);
}

bool residency::holds_slot(const entry& adapter)
{
    return adapter.phase == adapter_phase::loading || adapter.phase == adapter_phase::resident ||
           adapter.phase == adapter_phase::evicting || adapter.phase == adapter_phase::uncertain;
}

std::size_t residency::slots_held() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        adapters_, [](const auto& adapter) { return holds_slot(adapter.second); }));
}

double residency::demand_of(const entry& adapter, time_point now) const
{
    const std::chrono::duration<double> age = now - adapter.demand_at;
    const std::chrono::duration<double> half_life = options_.demand_half_life;
    return adapter.demand * std::exp2(-age.count() / half_life.count());
}

residency::entry_map::iterator residency::find_victim(bool allow_wanted, time_point now)
{
    auto victim = adapters_.end();
    for (auto it = adapters_.begin(); it != adapters_.end(); ++it) {
        const auto& held = it->second;
        const bool evictable = held.phase == adapter_phase::resident && held.pins == 0;
        if (!evictable || (held.wanted && !held.closed && !allow_wanted)) {
            continue;
        }
        if (victim == adapters_.end() || held.closed ||
            demand_of(held, now) < demand_of(victim->second, now)) {
            victim = it;
        }
        if (held.closed) {
            break;
        }
    }
    return victim;
}

void residency::close_one(time_point now)
{
    auto chosen = adapters_.end();
    for (auto it = adapters_.begin(); it != adapters_.end(); ++it) {
        const auto& held = it->second;
        if (held.closed || held.phase == adapter_phase::evicting) {
            return; // One slot is already on its way.
        }
        if (held.phase == adapter_phase::resident &&
            (chosen == adapters_.end() || demand_of(held, now) < demand_of(chosen->second, now))) {
            chosen = it;
        }
    }
    if (chosen != adapters_.end()) {
        chosen->second.closed = true;
    }
}

void residency::mark_wanted(std::span<const adapter_want> wanted)
{
    for (auto& [ref, held] : adapters_) {
        held.wanted = false;
    }
    for (const auto& want : wanted) {
        adapters_[want.adapter].wanted = true;
    }
}

scheduler_actions residency::plan(std::span<const adapter_want> wanted, time_point now)
{
    if (!recovered_ || options_.slots == 0) {
        return {};
    }
    mark_wanted(wanted);
    reopen_unless_overdue(wanted, now);
    scheduler_actions actions = serve_awaiting(now);
    for (const auto& want : wanted) {
        append(actions, ask_for(want, now));
    }
    return actions;
}

void residency::reopen_unless_overdue(std::span<const adapter_want> wanted, time_point now)
{
    const bool overdue = std::ranges::any_of(wanted, [&](const adapter_want& want) {
        const auto phase = adapters_.at(want.adapter).phase;
        const bool without_slot = phase == adapter_phase::absent ||
                                  phase == adapter_phase::asking ||
                                  phase == adapter_phase::awaiting_slot;
        return without_slot && now - want.since >= options_.slot_wait_limit;
    });
    if (overdue) {
        return;
    }
    for (auto& [ref, adapter] : adapters_) {
        adapter.closed = false;
    }
}

scheduler_actions residency::ask_for(const adapter_want& want, time_point now)
{
    auto& adapter = adapters_[want.adapter];
    if (adapter.phase != adapter_phase::absent || now < adapter.not_before) {
        return {};
    }
    const bool overdue = now - want.since >= options_.slot_wait_limit;
    const auto pending =
        static_cast<std::size_t>(std::ranges::count_if(adapters_, [](const auto& other) {
            return other.second.phase == adapter_phase::asking ||
                   other.second.phase == adapter_phase::awaiting_slot;
        }));
    const auto evictable =
        static_cast<std::size_t>(std::ranges::count_if(adapters_, [](const auto& other) {
            const auto& held = other.second;
            return held.phase == adapter_phase::resident && held.pins == 0 &&
                   (!held.wanted || held.closed);
        }));
    const std::size_t obtainable =
        options_.slots - std::min<std::size_t>(slots_held(), options_.slots) + evictable;
    if (pending >= obtainable) {
        if (overdue) {
            close_one(now);
        }
        return {};
    }
    adapter.phase = adapter_phase::asking;
    adapter.changed_at = now;
    return {ask_load_permit{want.adapter}};
}

scheduler_actions residency::on_permit(const adapter_ref& adapter, bool granted,
                                       duration retry_after, time_point now)
{
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end() || found->second.phase != adapter_phase::asking) {
        return granted ? scheduler_actions{release_load_permit{adapter}} : scheduler_actions{};
    }
    found->second.changed_at = now;
    if (!granted) {
        found->second.phase = adapter_phase::absent;
        found->second.not_before = now + retry_after;
        return {};
    }
    found->second.phase = adapter_phase::awaiting_slot;
    return fill_slot(found, now);
}

scheduler_actions residency::fill_slot(entry_map::iterator adapter, time_point now)
{
    if (!adapter->second.wanted) {
        adapter->second.phase = adapter_phase::absent;
        return {release_load_permit{adapter->first}};
    }
    if (slots_held() < options_.slots) {
        return load(adapter, now);
    }
    const auto under_way = [](const auto& other) {
        return other.second.phase == adapter_phase::evicting ||
               other.second.phase == adapter_phase::uncertain;
    };
    const auto freed = std::ranges::count_if(adapters_, under_way);
    const auto awaiting = std::ranges::count_if(adapters_, [](const auto& other) {
        return other.second.phase == adapter_phase::awaiting_slot;
    });
    if (freed >= awaiting) {
        return {};
    }
    const auto victim = find_victim(false, now);
    if (victim == adapters_.end()) {
        // The permit goes back, as others can use it before a slot falls free here.
        adapter->second.phase = adapter_phase::absent;
        return {release_load_permit{adapter->first}};
    }
    assert(victim->second.pins == 0);
    victim->second.phase = adapter_phase::evicting;
    victim->second.changed_at = now;
    victim->second.order = ++fence_;
    return {evict_adapter{victim->first, fence_}};
}

scheduler_actions residency::serve_awaiting(time_point now)
{
    scheduler_actions actions;
    for (auto it = adapters_.begin(); it != adapters_.end(); ++it) {
        if (it->second.phase == adapter_phase::awaiting_slot) {
            append(actions, fill_slot(it, now));
        }
    }
    return actions;
}

scheduler_actions residency::load(entry_map::iterator adapter, time_point now)
{
    adapter->second.phase = adapter_phase::loading;
    adapter->second.changed_at = now;
    adapter->second.order = ++fence_;
    return {load_adapter{adapter->first, fence_}};
}

scheduler_actions residency::on_load_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                          time_point now)
{
    const auto found = adapters_.find(adapter);
    scheduler_actions actions{release_load_permit{adapter}};
    if (found == adapters_.end() || found->second.phase != adapter_phase::loading ||
        found->second.order != fence) {
        return actions;
    }
    auto& held = found->second;
    if (ok) {
        load_time_ += (now - held.changed_at - load_time_) / load_time_smoothing;
        held.phase = adapter_phase::resident;
        held.closed = false;
        held.failures = 0;
        held.changed_at = now;
        return actions;
    }
    held.phase = adapter_phase::uncertain;
    held.changed_at = now;
    back_off(held, now);
    append(actions, read(now));
    return actions;
}

void residency::back_off(entry& adapter, time_point now) const
{
    constexpr std::uint32_t max_doublings = 16;
    const auto doublings = std::min(adapter.failures, max_doublings);
    const auto pause = options_.first_backoff * (1 << doublings);
    adapter.not_before = now + std::min<duration>(pause, options_.max_backoff);
    ++adapter.failures;
}

scheduler_actions residency::on_evict_done(const adapter_ref& adapter, fencing_number fence,
                                           bool ok, time_point now)
{
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end() || found->second.phase != adapter_phase::evicting ||
        found->second.order != fence) {
        return {};
    }
    auto& held = found->second;
    held.changed_at = now;
    held.closed = false;
    if (!ok) {
        held.phase = adapter_phase::uncertain;
        return read(now);
    }
    held.phase = adapter_phase::absent;
    return serve_awaiting(now);
}

scheduler_actions residency::on_upstream_read(const std::set<adapter_ref>& held,
                                              time_point asked_at, time_point now)
{
    for (const auto& ref : held) {
        auto& adapter = adapters_[ref];
        const bool settled =
            adapter.phase == adapter_phase::absent || adapter.phase == adapter_phase::uncertain;
        if (settled && adapter.changed_at <= asked_at) {
            adapter.phase = adapter_phase::resident;
            adapter.closed = false;
            adapter.changed_at = now;
        }
    }
    for (auto& [ref, adapter] : adapters_) {
        const bool settled =
            adapter.phase == adapter_phase::resident || adapter.phase == adapter_phase::uncertain;
        if (settled && !held.contains(ref) && adapter.changed_at <= asked_at) {
            adapter.phase = adapter_phase::absent;
            adapter.closed = false;
            adapter.changed_at = now;
        }
    }
    recovered_ = recovered_ || (readable_from_ && asked_at >= *readable_from_);
    return serve_awaiting(now);
}

scheduler_actions residency::on_upstream_restarted()
{
    scheduler_actions actions;
    for (auto& [ref, adapter] : adapters_) {
        if (adapter.phase == adapter_phase::awaiting_slot) {
            actions.emplace_back(release_load_permit{ref});
        }
        // The permits of loads under way go back when their end is reported.
        const bool asked = adapter.phase == adapter_phase::asking;
        adapter.phase = asked ? adapter_phase::asking : adapter_phase::absent;
        adapter.closed = false;
    }
    return actions;
}

time_point residency::earliest_ready(const adapter_ref& adapter, time_point now) const
{
    if (!recovered_) {
        return std::max(now, readable_from_.value_or(now));
    }
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end()) {
        return now + load_time_;
    }
    const auto& held = found->second;
    switch (held.phase) {
    case adapter_phase::resident:
        return now;
    case adapter_phase::loading:
        return std::max(now, held.changed_at + load_time_);
    case adapter_phase::absent:
    case adapter_phase::uncertain:
        return std::max(now, held.not_before) + load_time_;
    case adapter_phase::asking:
    case adapter_phase::awaiting_slot:
    case adapter_phase::evicting:
        break;
    }
    return now + load_time_;
}

bool residency::is_given_up(const adapter_ref& adapter, time_point now) const
{
    const auto found = adapters_.find(adapter);
    return found != adapters_.end() && found->second.failures >= options_.max_load_failures &&
           now < found->second.not_before;
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

void residency::forget_idle(time_point now)
{
    if (adapters_.size() <= max_remembered) {
        return;
    }
    std::erase_if(adapters_, [now](const auto& adapter) {
        const auto& held = adapter.second;
        return held.phase == adapter_phase::absent && held.pins == 0 && !held.wanted &&
               now >= held.not_before;
    });
}

} // namespace snipespar::agent
