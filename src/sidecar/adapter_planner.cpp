#include "sidecar/adapter_planner.h"

#include "base/stable_hash.h"
#include "gateway/engine_status.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace snipespar::sidecar {

namespace {

using std::chrono::milliseconds;

// Loads that an engine accepts concurrently.
constexpr int max_concurrent_loads = 4;
// Limit of concurrent loads from the weight store while it is busy. All engines share its
// bandwidth, so more loads would only make each one slower.
constexpr int max_store_loads_when_busy = 2;
// Evicted adapters that an engine is assumed to cache; reloading them is ten times as fast. Engines
// keep about a hundred.
constexpr std::size_t max_cached = 80;
// Slots kept free, so that a load does not have to wait for an eviction.
constexpr int spare_slots = 2;
// The same where adapters are retained by demand, as an empty slot is one more load to come.
constexpr int spare_slots_by_demand = 1;
// Callers of a stream wait at most about this long for its first event. No further adapters are
// accepted when the queue of loads from the store takes longer.
constexpr double max_backlog_s = 1.2;
// From withdrawing an adapter to evicting it: covers a status datagram and a request in flight,
// and a busy processor at either end.
constexpr auto withdrawal_delay = milliseconds(60);
// An adapter used this recently is likely to be used again and is evicted only if adapters are
// pending.
constexpr auto recent_use_window = milliseconds(300);
// An unresolved order may still be carried out up to 12 s later.
constexpr auto unresolved_order_lifetime = std::chrono::seconds(13);
// A gateway reports its use every 500 ms while it has some; older reports are stale.
constexpr auto use_lifetime = milliseconds(1300);
// A gateway that has used an adapter is told at once of its eviction for so long. It is the one
// that may send a call in the moment before; others learn it with the next report to all.
constexpr auto recent_user_lifetime = std::chrono::seconds(4);
// An accepted load that the engine's report does not show after this time is taken as failed.
constexpr auto order_report_timeout = milliseconds(400);
constexpr auto refusal_cooldown = milliseconds(250);
// Loads of a base model take seconds and count against a limit of the whole fleet.
constexpr auto model_order_interval = milliseconds(3000);
// Engines spread the replacement of an outdated adapter over this span, so that it stays resident
// on some engine. All replacements must finish within 5 s.
constexpr auto replacement_spread = milliseconds(1500);

std::string name_of(const std::string& model, const std::string& adapter)
{
    return model + "/" + adapter;
}

} // namespace

adapter_planner::adapter_state& adapter_planner::state_of(const std::string& model,
                                                          const std::string& adapter)
{
    auto& state = adapters_[name_of(model, adapter)];
    state.model = model;
    state.adapter = adapter;
    return state;
}

void adapter_planner::on_demand(const control::adapter_demand& demand, time_point now)
{
    if (demand.upstream_start_ms >= known_upstream_start_ms_) {
        known_upstream_ = demand.upstream;
        known_upstream_start_ms_ = demand.upstream_start_ms;
    }
    for (const auto& [name, version] : demand.versions) {
        const auto slash = name.find('/');
        auto& state = state_of(name.substr(0, slash), name.substr(slash + 1));
        if (version > state.newest_version) {
            state.newest_version = version;
            state.newest_since = now;
        }
    }
    adapter_slots_ = demand.adapter_slots;
    models_ = demand.models;
    std::set<std::string> used_before;
    for (auto& [name, state] : adapters_) {
        if (state.uses.erase(demand.gateway) > 0) {
            used_before.insert(name);
        }
    }
    for (const auto& use : demand.uses) {
        auto& state = state_of(use.model, use.adapter);
        const auto name = name_of(use.model, use.adapter);
        if (use.waiting > 0 || use.running > 0) {
            state.uses[demand.gateway] = {use.waiting, use.running, now, now + use.timely_for};
        }
        state.last_used = now;
        if (retention_ == cli::retention_rule::demand) {
            state.recent_users[demand.gateway] = now;
            // An earlier build states no calls begun, and a message that did may have been lost.
            const bool is_unstated = use.begun == 0 && !used_before.contains(name);
            history_.on_calls(name, is_unstated ? use.running : use.begun, now);
        }
        if (use.waiting > 0 && !state.waiting_since) {
            state.waiting_since = now;
        }
    }
}

void adapter_planner::on_report(const engine_report& report, time_point now)
{
    if (process_start_ms_ != report.process_start_ms) {
        ordered_loads_.clear();
        load_ordered_at_.clear();
        cached_.clear();
        model_ordered_at_.reset();
        for (auto& load : unresolved_loads_) {
            load.is_from_earlier_incarnation = true;
        }
    }
    report_ = report;
    is_report_current_ = true;
    process_start_ms_ = report.process_start_ms;
    std::erase_if(unresolved_loads_,
                  [&](const unresolved_load& load) { return now >= load.expires; });
    std::erase_if(load_ordered_at_, [&](const auto& item) {
        if (is_resident(item.first) && !is_cached(item.first)) {
            load_time_.on_loaded(now - item.second);
        }
        return is_resident(item.first) ||
               (!is_loading(item.first) && now - item.second > order_report_timeout);
    });
    std::erase_if(cached_, [&](const auto& name) { return is_resident(name); });
    std::erase_if(ordered_loads_, [&](const auto& item) {
        return is_resident(item.first) || is_loading(item.first) ||
               now - item.second > order_report_timeout;
    });
    for (const auto& [name, version] : report.adapters) {
        const auto slash = name.find('/');
        auto& state = state_of(name.substr(0, slash), name.substr(slash + 1));
        if (state.last_used == time_point{}) {
            state.last_used = now;
        }
    }
    std::erase_if(adapters_, [&](const auto& item) {
        const auto& [name, state] = item;
        return state.uses.empty() && state.newest_version == 0 && !is_resident(name) &&
               !is_loading(name) && !ordered_loads_.contains(name);
    });
    for (auto& [name, state] : adapters_) {
        std::erase_if(state.uses,
                      [&](const auto& use) { return now - use.second.reported_at > use_lifetime; });
        std::erase_if(state.recent_users,
                      [&](const auto& user) { return now - user.second > recent_user_lifetime; });
        const bool has_waiting_calls =
            std::any_of(state.uses.begin(), state.uses.end(),
                        [](const auto& use) { return use.second.waiting > 0; });
        if (!has_waiting_calls) {
            state.waiting_since.reset();
        }
        const bool is_retained = state.withdrawn_at && !is_outdated(name, state) &&
                                 !state.is_evicting &&
                                 now - *state.withdrawn_at > order_report_timeout;
        if (!is_resident(name) || is_retained) {
            state.withdrawn_at.reset();
            state.is_evicting = false;
        }
    }
}

void adapter_planner::on_order_result(const engine_order& order, order_result result,
                                      time_point now)
{
    if (result == order_result::accepted || result == order_result::done) {
        report_->orders_accepted = order.orders_before + 1;
        const auto name = name_of(order.model, order.adapter);
        if (order.adapter.empty()) {
            report_->is_busy = true;
        }
        else if (order.op == engine_order::operation::load) {
            ordered_loads_[name] = now;
            // A replaced adapter stays resident, so that no report shows when its load has ended.
            if (!is_resident(name)) {
                load_ordered_at_[name] = now;
            }
        }
        else if (result == order_result::done) {
            report_->adapters.erase(name);
            note_evicted(name);
        }
        else {
            // It occupies its slot until its runs have ended; a later report shows the eviction.
            adapters_[name].is_evicting = true;
            note_evicted(name);
        }
        return;
    }
    if (result == order_result::unknown && order.op == engine_order::operation::load) {
        unresolved_loads_.push_back(
            {order.orders_before, order.upstream, false, now + unresolved_order_lifetime});
    }
    const bool is_not_begun = result == order_result::refused || result == order_result::conflict;
    if (order.adapter.empty() && is_not_begun) {
        model_ordered_at_.reset();
    }
    // The engine's adapters and its count of orders are unknown until its next report.
    is_report_current_ = false;
    if (result == order_result::refused) {
        cooldown_until_ = now + refusal_cooldown;
    }
}

bool adapter_planner::is_resident(const std::string& name) const
{
    return report_ && report_->adapters.contains(name);
}

bool adapter_planner::is_loading(const std::string& name) const
{
    return report_ && std::find(report_->loading.begin(), report_->loading.end(), name) !=
                          report_->loading.end();
}

bool adapter_planner::is_outdated(const std::string& name, const adapter_state& state) const
{
    const auto resident = report_->adapters.find(name);
    return resident != report_->adapters.end() && resident->second < state.newest_version;
}

int adapter_planner::slots_taken() const
{
    int taken = static_cast<int>(report_->adapters.size());
    for (const auto& name : report_->loading) {
        taken += is_resident(name) ? 0 : 1;
    }
    for (const auto& [name, when] : ordered_loads_) {
        taken += is_resident(name) || is_loading(name) ? 0 : 1;
    }
    return taken;
}

// Reserves a slot for each load ordered from an earlier incarnation that may still be carried out.
int adapter_planner::usable_slots() const
{
    const auto name = upstream();
    const auto possible = std::count_if(
        unresolved_loads_.begin(), unresolved_loads_.end(), [&](const unresolved_load& load) {
            const bool is_refused =
                !load.upstream.empty() && !name.empty() && load.upstream != name;
            const bool is_void = load.orders_before < report_->orders_accepted;
            return load.is_from_earlier_incarnation && !is_refused && !is_void;
        });
    return std::max(adapter_slots_ - static_cast<int>(possible), 0);
}

// Gateways may still know the engine by the name of an earlier incarnation.
std::string adapter_planner::upstream() const
{
    return known_upstream_start_ms_ == process_start_ms_ ? known_upstream_ : std::string();
}

int adapter_planner::free_slots() const
{
    return usable_slots() - slots_taken();
}

bool adapter_planner::is_pending(const std::string& name, const adapter_state& state) const
{
    return state.waiting_since && !is_resident(name) && !is_loading(name) &&
           !ordered_loads_.contains(name);
}

int adapter_planner::pending_count() const
{
    return static_cast<int>(
        std::count_if(adapters_.begin(), adapters_.end(),
                      [&](const auto& item) { return is_pending(item.first, item.second); }));
}

int adapter_planner::store_backlog() const
{
    return static_cast<int>(
        std::count_if(adapters_.begin(), adapters_.end(), [&](const auto& item) {
            return is_pending(item.first, item.second) && !is_cached(item.first);
        }));
}

engine_order adapter_planner::make_order(engine_order::operation op,
                                         const adapter_state& state) const
{
    return {op, state.model, state.adapter, std::nullopt, report_->orders_accepted, upstream()};
}

int adapter_planner::store_loads_allowed() const
{
    // Before the first measured load, all engines may be starting concurrently.
    const bool is_busy = !load_time_.is_known() || load_time_.is_store_busy();
    return is_busy ? max_store_loads_when_busy : max_concurrent_loads;
}

std::optional<engine_order> adapter_planner::next_order(time_point now)
{
    if (!is_report_current_ || (cooldown_until_ && now < *cooldown_until_) || report_->is_busy) {
        return std::nullopt;
    }
    if (auto order = model_order(now)) {
        return order;
    }
    if (adapter_slots_ == 0) {
        return std::nullopt;
    }
    withdraw_victims(now);
    if (auto order = replacement_order(now)) {
        return order;
    }
    if (auto order = load_order(now)) {
        return order;
    }
    return unload_order(now);
}

std::optional<engine_order> adapter_planner::model_order(time_point now)
{
    if (model_ordered_at_ && now - *model_ordered_at_ < model_order_interval) {
        return std::nullopt;
    }
    // An engine has room for only one base model.
    if (models_.empty() || !report_->models.empty()) {
        return std::nullopt;
    }
    model_ordered_at_ = now;
    return engine_order{engine_order::operation::load, models_.front(), {}, std::nullopt,
                        report_->orders_accepted,      upstream()};
}

std::optional<engine_order> adapter_planner::replacement_order(time_point now)
{
    for (auto& [name, state] : adapters_) {
        if (!report_->adapters.contains(name) || !is_outdated(name, state) || is_loading(name) ||
            ordered_loads_.contains(name)) {
            continue;
        }
        const auto spread = duration(replacement_spread).count();
        const auto delay =
            static_cast<duration::rep>(combine_hash(stable_hash(name), report_->process_start_ms) %
                                       static_cast<std::uint64_t>(spread));
        if (now - state.newest_since < duration(delay)) {
            continue;
        }
        if (!state.withdrawn_at) {
            state.withdrawn_at = now;
        }
        if (now - *state.withdrawn_at >= withdrawal_delay) {
            auto order = make_order(engine_order::operation::load, state);
            order.version = state.newest_version;
            return order;
        }
    }
    return std::nullopt;
}

std::optional<engine_order> adapter_planner::load_order(time_point now)
{
    std::set<std::string> loads_in_flight(report_->loading.begin(), report_->loading.end());
    for (const auto& [name, when] : ordered_loads_) {
        loads_in_flight.insert(name);
    }
    if (static_cast<int>(loads_in_flight.size()) >= max_concurrent_loads || free_slots() <= 0) {
        return std::nullopt;
    }
    const auto store_loads =
        std::count_if(loads_in_flight.begin(), loads_in_flight.end(),
                      [&](const std::string& name) { return !is_cached(name); });
    const adapter_state* best = nullptr;
    std::tuple<bool, bool, int, duration> best_rank;
    const auto loaded_at = now + std::chrono::duration_cast<duration>(
                                     std::chrono::duration<double>(load_time_.usual_s()));
    for (const auto& [name, state] : adapters_) {
        const auto& models = report_->models;
        const bool is_possible =
            state.waiting_since && !is_resident(name) && !loads_in_flight.contains(name) &&
            std::find(models.begin(), models.end(), state.model) != models.end();
        const bool is_fast = is_cached(name);
        if (!is_possible || (!is_fast && store_loads >= store_loads_allowed())) {
            continue;
        }
        // Calls that can still begin in time come before those that are late anyway, as all would
        // be late otherwise while more is asked for than can be loaded. Then the load with most
        // waiting calls comes first, so that demand shifts settle soonest.
        const std::tuple rank(is_fast, state.is_timely_at(loaded_at), state.waiting(),
                              now - *state.waiting_since);
        if (best == nullptr || rank > best_rank) {
            best = &state;
            best_rank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return make_order(engine_order::operation::load, *best);
}

int adapter_planner::adapter_state::waiting() const
{
    int sum = 0;
    for (const auto& [gateway, use] : uses) {
        sum += use.waiting;
    }
    return sum;
}

bool adapter_planner::adapter_state::is_timely_at(time_point when) const
{
    return std::any_of(uses.begin(), uses.end(),
                       [&](const auto& use) { return when < use.second.timely_until; });
}

bool adapter_planner::is_cached(const std::string& name) const
{
    return std::find(cached_.begin(), cached_.end(), name) != cached_.end();
}

void adapter_planner::note_evicted(const std::string& name)
{
    std::erase(cached_, name);
    cached_.push_back(name);
    if (cached_.size() > max_cached) {
        cached_.pop_front();
    }
}

std::set<std::string> adapter_planner::waiting_gateways() const
{
    std::set<std::string> gateways;
    for (const auto& [name, state] : adapters_) {
        for (const auto& [gateway, use] : state.uses) {
            if (use.waiting > 0) {
                gateways.insert(gateway);
            }
        }
    }
    return gateways;
}

int adapter_planner::slots_kept_free() const
{
    return retention_ == cli::retention_rule::demand ? spare_slots_by_demand : spare_slots;
}

bool adapter_planner::is_evicted_before(const adapter_state& left, const adapter_state& right,
                                        time_point now) const
{
    if (retention_ == cli::retention_rule::demand) {
        const double left_calls = history_.calls(name_of(left.model, left.adapter), now);
        const double right_calls = history_.calls(name_of(right.model, right.adapter), now);
        if (left_calls != right_calls) {
            return left_calls < right_calls;
        }
    }
    return left.last_used < right.last_used;
}

std::set<std::string> adapter_planner::users_of(const std::vector<std::string>& adapters) const
{
    std::set<std::string> gateways;
    for (const auto& name : adapters) {
        if (const auto found = adapters_.find(name); found != adapters_.end()) {
            for (const auto& [gateway, when] : found->second.recent_users) {
                gateways.insert(gateway);
            }
        }
    }
    return gateways;
}

std::set<std::string> adapter_planner::using_gateways() const
{
    std::set<std::string> gateways;
    for (const auto& [name, state] : adapters_) {
        for (const auto& [gateway, use] : state.uses) {
            gateways.insert(gateway);
        }
    }
    return gateways;
}

// Withdraws adapters that are not in use while too few slots are free.
void adapter_planner::withdraw_victims(time_point now)
{
    int free = free_slots();
    const int pending = pending_count();
    const int needed = std::clamp(pending, slots_kept_free(), max_concurrent_loads);
    const bool is_short = pending > free;
    for (const auto& [name, state] : adapters_) {
        if (state.withdrawn_at && is_resident(name) && !is_outdated(name, state)) {
            ++free;
        }
    }
    while (free < needed) {
        adapter_state* victim = nullptr;
        for (auto& [name, state] : adapters_) {
            const bool is_recent = !is_short && now - state.last_used < recent_use_window;
            if (!is_resident(name) || state.withdrawn_at || !state.uses.empty() || is_recent) {
                continue;
            }
            if (victim == nullptr || is_evicted_before(state, *victim, now)) {
                victim = &state;
            }
        }
        if (victim == nullptr) {
            return;
        }
        victim->withdrawn_at = now;
        ++free;
    }
}

std::optional<engine_order> adapter_planner::unload_order(time_point now)
{
    const adapter_state* oldest = nullptr;
    for (auto& [name, state] : adapters_) {
        const bool is_due = state.withdrawn_at && is_resident(name) && !is_outdated(name, state) &&
                            now - *state.withdrawn_at >= withdrawal_delay && !state.is_evicting;
        if (!is_due) {
            continue;
        }
        if (!state.uses.empty()) {
            // A request in flight reached the adapter after it was withdrawn, so it is in use
            // again.
            state.withdrawn_at.reset();
        }
        else if (oldest == nullptr || state.last_used < oldest->last_used) {
            oldest = &state;
        }
    }
    if (oldest == nullptr) {
        return std::nullopt;
    }
    return make_order(engine_order::operation::unload, *oldest);
}

gateway::engine_status adapter_planner::status() const
{
    gateway::engine_status status;
    if (!report_) {
        return status;
    }
    status.process_start_ms = report_->process_start_ms;
    status.models = report_->models;
    for (const auto& [name, version] : report_->adapters) {
        const auto state = adapters_.find(name);
        if (state == adapters_.end() || !state->second.withdrawn_at) {
            status.adapters[name] = version;
        }
    }
    status.loading = report_->loading;
    for (const auto& [name, when] : ordered_loads_) {
        if (!is_resident(name) && !is_loading(name)) {
            status.loading.push_back(name);
        }
    }
    status.running = report_->running;
    status.waiting = report_->waiting;
    status.memory_used = report_->memory_used;
    status.is_short_of_slots = pending_count() > free_slots();
    status.counts_calls = retention_ == cli::retention_rule::demand;
    status.is_full = store_backlog() * load_time_.usual_s() / store_loads_allowed() > max_backlog_s;
    return status;
}

bool adapter_planner::has_outstanding_work() const
{
    if (!is_report_current_ || report_->is_busy || !report_->loading.empty() ||
        !ordered_loads_.empty()) {
        return true;
    }
    return std::any_of(adapters_.begin(), adapters_.end(), [&](const auto& item) {
        return item.second.waiting_since || item.second.withdrawn_at;
    });
}

} // namespace snipespar::sidecar
