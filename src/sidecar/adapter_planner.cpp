#include "sidecar/adapter_planner.h"

#include "base/stable_hash.h"
#include "gateway/engine_status.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace snipespar::sidecar {

namespace {

using std::chrono::milliseconds;

// Adapters that an engine takes at the same time.
constexpr int max_loads_at_once = 4;
// Those of them that come from the weight store while it is busy. All engines share what it can
// send, so that more would only make each one longer.
constexpr int max_store_loads_when_busy = 2;
// Loads that take this multiple of the shortest one show that the weight store is busy.
constexpr double busy_load_factor = 1.4;
// Dropped adapters that an engine is expected to have at hand still; such loads are ten times as
// fast. Engines keep about a hundred.
constexpr std::size_t max_at_hand = 80;
// Places kept free, so that a load does not have to wait until another adapter has made way.
constexpr int spare_places = 2;
// Callers of a stream wait for its first event about this long at best; adapters that would come
// later are not promised any more.
constexpr double longest_backlog_s = 1.2;
constexpr double load_time_smoothing = 0.3;
// Between the last word to gateways that an adapter is there and its removal: a datagram and a
// request on their way, and a busy processor at either end.
constexpr auto withdrawal_time = milliseconds(60);
// An adapter used this recently is likely to be used again at once, so that it is kept unless
// others are waited for.
constexpr auto recent_use = milliseconds(300);
// An unanswered order may be carried out up to twelve seconds later.
constexpr auto late_order_time = std::chrono::seconds(13);
// A gateway tells its use every half a second while it has some; older words no longer count.
constexpr auto use_lifetime = milliseconds(1300);
// An accepted load that the engine's report does not show after this time has come to nothing.
constexpr auto order_visible_time = milliseconds(400);
constexpr auto refusal_pause = milliseconds(250);
// Loads of a base model take seconds and draw on a limit of the whole fleet.
constexpr auto model_order_pause = milliseconds(3000);
// Engines replace an outdated adapter at different moments of this span, so that some engine holds
// the adapter all the time. All have to be done within five seconds.
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
    if (demand.upstream_start_ms >= told_born_ms_) {
        told_upstream_ = demand.upstream;
        told_born_ms_ = demand.upstream_start_ms;
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
    for (auto& [name, state] : adapters_) {
        state.uses.erase(demand.gateway);
    }
    for (const auto& use : demand.uses) {
        auto& state = state_of(use.model, use.adapter);
        state.uses[demand.gateway] = {use.waiting, use.running, now};
        state.last_used = now;
        if (use.waiting > 0 && !state.wanted_since) {
            state.wanted_since = now;
        }
    }
}

void adapter_planner::on_report(const engine_report& report, time_point now)
{
    if (born_ms_ != report.process_start_ms) {
        ordered_.clear();
        load_began_.clear();
        at_hand_.clear();
        model_ordered_at_.reset();
        for (auto& load : unsettled_) {
            load.is_of_earlier_life = true;
        }
    }
    report_ = report;
    is_report_current_ = true;
    born_ms_ = report.process_start_ms;
    std::erase_if(unsettled_, [&](const unsettled_load& load) { return now >= load.expires; });
    std::erase_if(load_began_, [&](const auto& item) {
        if (is_held(item.first) && !is_at_hand(item.first)) {
            const double took_s = std::chrono::duration<double>(now - item.second).count();
            const double smoothing = load_time_s_ == 0 ? 1.0 : load_time_smoothing;
            load_time_s_ += smoothing * (took_s - load_time_s_);
            least_load_time_s_ =
                least_load_time_s_ == 0 ? took_s : std::min(least_load_time_s_, took_s);
        }
        return is_held(item.first) ||
               (!is_loading(item.first) && now - item.second > order_visible_time);
    });
    std::erase_if(at_hand_, [&](const auto& name) { return is_held(name); });
    std::erase_if(ordered_, [&](const auto& item) {
        return is_held(item.first) || is_loading(item.first) ||
               now - item.second > order_visible_time;
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
        return state.uses.empty() && state.newest_version == 0 && !is_held(name) &&
               !is_loading(name) && !ordered_.contains(name);
    });
    for (auto& [name, state] : adapters_) {
        std::erase_if(state.uses,
                      [&](const auto& use) { return now - use.second.told > use_lifetime; });
        const bool is_wanted = std::any_of(state.uses.begin(), state.uses.end(),
                                           [](const auto& use) { return use.second.waiting > 0; });
        if (!is_wanted) {
            state.wanted_since.reset();
        }
        const bool is_kept = state.withdrawn_at && !is_outdated(name, state) &&
                             !state.is_dropping && now - *state.withdrawn_at > order_visible_time;
        if (!is_held(name) || is_kept) {
            state.withdrawn_at.reset();
            state.is_dropping = false;
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
            ordered_[name] = now;
            load_began_[name] = now;
        }
        else if (result == order_result::done) {
            report_->adapters.erase(name);
            note_dropped(name);
        }
        else {
            // Its place is taken until its runs have ended; a report will show it.
            adapters_[name].is_dropping = true;
            note_dropped(name);
        }
        return;
    }
    if (result == order_result::unknown && order.op == engine_order::operation::load) {
        unsettled_.push_back({order.orders_before, order.upstream, false, now + late_order_time});
    }
    const bool is_not_begun = result == order_result::refused || result == order_result::conflict;
    if (order.adapter.empty() && is_not_begun) {
        model_ordered_at_.reset();
    }
    // What the engine holds, and its count of orders, are not known until its next report.
    is_report_current_ = false;
    if (result == order_result::refused) {
        paused_until_ = now + refusal_pause;
    }
}

bool adapter_planner::is_held(const std::string& name) const
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
    const auto held = report_->adapters.find(name);
    return held != report_->adapters.end() && held->second < state.newest_version;
}

int adapter_planner::places_taken() const
{
    int taken = static_cast<int>(report_->adapters.size());
    for (const auto& name : report_->loading) {
        taken += is_held(name) ? 0 : 1;
    }
    for (const auto& [name, when] : ordered_) {
        taken += is_held(name) || is_loading(name) ? 0 : 1;
    }
    return taken;
}

// A place is left free for each load of an earlier life that the engine may still carry out.
int adapter_planner::usable_slots() const
{
    const auto name = upstream();
    const auto possible =
        std::count_if(unsettled_.begin(), unsettled_.end(), [&](const unsettled_load& load) {
            const bool is_refused =
                !load.upstream.empty() && !name.empty() && load.upstream != name;
            const bool is_void = load.orders_before < report_->orders_accepted;
            return load.is_of_earlier_life && !is_refused && !is_void;
        });
    return std::max(adapter_slots_ - static_cast<int>(possible), 0);
}

// Gateways may still know the engine by the name that it had before it restarted.
std::string adapter_planner::upstream() const
{
    return told_born_ms_ == born_ms_ ? told_upstream_ : std::string();
}

int adapter_planner::free_places() const
{
    return usable_slots() - places_taken();
}

bool adapter_planner::is_awaited(const std::string& name, const adapter_state& state) const
{
    return state.wanted_since && !is_held(name) && !is_loading(name) && !ordered_.contains(name);
}

int adapter_planner::awaited() const
{
    return static_cast<int>(
        std::count_if(adapters_.begin(), adapters_.end(),
                      [&](const auto& item) { return is_awaited(item.first, item.second); }));
}

int adapter_planner::backlog() const
{
    return static_cast<int>(
        std::count_if(adapters_.begin(), adapters_.end(), [&](const auto& item) {
            return is_awaited(item.first, item.second) && !is_at_hand(item.first);
        }));
}

engine_order adapter_planner::make_order(engine_order::operation op,
                                         const adapter_state& state) const
{
    return {op, state.model, state.adapter, std::nullopt, report_->orders_accepted, upstream()};
}

int adapter_planner::store_loads_allowed() const
{
    // Without a load to tell by, all engines may be filling up at once.
    const bool is_busy = load_time_s_ == 0 || load_time_s_ > busy_load_factor * least_load_time_s_;
    return is_busy ? max_store_loads_when_busy : max_loads_at_once;
}

std::optional<engine_order> adapter_planner::next_order(time_point now)
{
    if (!is_report_current_ || (paused_until_ && now < *paused_until_) || report_->is_busy) {
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
    if (model_ordered_at_ && now - *model_ordered_at_ < model_order_pause) {
        return std::nullopt;
    }
    // One base model fills an engine; a second one is not loaded beside it.
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
            ordered_.contains(name)) {
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
        if (now - *state.withdrawn_at >= withdrawal_time) {
            auto order = make_order(engine_order::operation::load, state);
            order.version = state.newest_version;
            return order;
        }
    }
    return std::nullopt;
}

std::optional<engine_order> adapter_planner::load_order(time_point now)
{
    std::set<std::string> on_the_way(report_->loading.begin(), report_->loading.end());
    for (const auto& [name, when] : ordered_) {
        on_the_way.insert(name);
    }
    if (static_cast<int>(on_the_way.size()) >= max_loads_at_once || free_places() <= 0) {
        return std::nullopt;
    }
    const auto store_loads =
        std::count_if(on_the_way.begin(), on_the_way.end(),
                      [&](const std::string& name) { return !is_at_hand(name); });
    const adapter_state* best = nullptr;
    std::tuple<bool, int, duration> best_rank;
    for (const auto& [name, state] : adapters_) {
        const auto& models = report_->models;
        const bool is_possible =
            state.wanted_since && !is_held(name) && !on_the_way.contains(name) &&
            std::find(models.begin(), models.end(), state.model) != models.end();
        const bool is_fast = is_at_hand(name);
        if (!is_possible || (!is_fast && store_loads >= store_loads_allowed())) {
            continue;
        }
        // The load that serves most callers comes first, so that a shift of demand is over soonest.
        const std::tuple rank(is_fast, state.waiting(), now - *state.wanted_since);
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

bool adapter_planner::is_at_hand(const std::string& name) const
{
    return std::find(at_hand_.begin(), at_hand_.end(), name) != at_hand_.end();
}

void adapter_planner::note_dropped(const std::string& name)
{
    std::erase(at_hand_, name);
    at_hand_.push_back(name);
    if (at_hand_.size() > max_at_hand) {
        at_hand_.pop_front();
    }
}

std::set<std::string> adapter_planner::interested_gateways() const
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

// Withdraws the adapters that were used least recently while too few places are free.
void adapter_planner::withdraw_victims(time_point now)
{
    int free = free_places();
    const int awaited_now = awaited();
    const int needed = std::clamp(awaited_now, spare_places, max_loads_at_once);
    const bool is_short = awaited_now > free;
    for (const auto& [name, state] : adapters_) {
        if (state.withdrawn_at && is_held(name) && !is_outdated(name, state)) {
            ++free;
        }
    }
    while (free < needed) {
        adapter_state* oldest = nullptr;
        for (auto& [name, state] : adapters_) {
            const bool is_recent = !is_short && now - state.last_used < recent_use;
            if (!is_held(name) || state.withdrawn_at || !state.uses.empty() || is_recent) {
                continue;
            }
            if (oldest == nullptr || state.last_used < oldest->last_used) {
                oldest = &state;
            }
        }
        if (oldest == nullptr) {
            return;
        }
        oldest->withdrawn_at = now;
        ++free;
    }
}

std::optional<engine_order> adapter_planner::unload_order(time_point now)
{
    const adapter_state* oldest = nullptr;
    for (auto& [name, state] : adapters_) {
        const bool is_due = state.withdrawn_at && is_held(name) && !is_outdated(name, state) &&
                            now - *state.withdrawn_at >= withdrawal_time && !state.is_dropping;
        if (!is_due) {
            continue;
        }
        if (!state.uses.empty()) {
            // A request was on its way after all, so the adapter is in use again.
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
    status.models = report_->models;
    for (const auto& [name, version] : report_->adapters) {
        const auto state = adapters_.find(name);
        if (state == adapters_.end() || !state->second.withdrawn_at) {
            status.adapters[name] = version;
        }
    }
    status.loading = report_->loading;
    for (const auto& [name, when] : ordered_) {
        if (!is_held(name) && !is_loading(name)) {
            status.loading.push_back(name);
        }
    }
    status.running = report_->running;
    status.waiting = report_->waiting;
    status.memory_used = report_->memory_used;
    status.is_short_of_slots = awaited() > free_places();
    status.is_full = backlog() * load_time_s_ / store_loads_allowed() > longest_backlog_s;
    return status;
}

bool adapter_planner::is_waiting() const
{
    if (!is_report_current_ || report_->is_busy || !report_->loading.empty() || !ordered_.empty()) {
        return true;
    }
    return std::any_of(adapters_.begin(), adapters_.end(), [&](const auto& item) {
        return item.second.wanted_since || item.second.withdrawn_at;
    });
}

} // namespace snipespar::sidecar
