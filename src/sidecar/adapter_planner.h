#pragma once

#include "control/adapter_demand.h"
#include "sidecar/engine_order.h"
#include "sidecar/engine_report.h"
#include "sidecar/order_result.h"
#include "snipespar/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipespar::gateway {
struct engine_status;
}

namespace snipespar::sidecar {

/// Decides which adapters one engine holds: those that gateways wait for are loaded, the least
/// recently used ones make way, and outdated versions are replaced.
///
/// An adapter that is to be dropped or replaced is first withdrawn from what gateways are told, so
/// that requests on their way to it still find it.
class adapter_planner {
public:
    void on_demand(const control::adapter_demand& demand, time_point now);
    void on_report(const engine_report& report, time_point now);
    void on_order_result(const engine_order& order, order_result result, time_point now);

    /// The next order to give, or nothing for the moment. One order is given at a time: its result
    /// has to be told before the next is asked for.
    std::optional<engine_order> next_order(time_point now);

    /// What gateways may rely on; address, start and sequence are left to the caller.
    gateway::engine_status status() const;

    /// Gateways whose calls wait for an adapter that is there now or on its way.
    std::set<std::string> interested_gateways() const;

    /// Whether something is on its way, so that the engine should be asked soon.
    bool is_waiting() const;

private:
    struct gateway_use {
        int waiting = 0;
        int running = 0;
        time_point told;
    };
    struct adapter_state {
        std::string model;
        std::string adapter;
        /// By gateway.
        std::map<std::string, gateway_use> uses;
        time_point last_used;
        /// Since when gateways wait for it without a break.
        std::optional<time_point> wanted_since;
        /// Gateways are no longer told of it; it may be dropped or replaced after a moment.
        std::optional<time_point> withdrawn_at;
        /// The engine drops it as soon as its runs have ended.
        bool is_dropping = false;

        /// Calls that wait for it at all gateways.
        int waiting() const;
        std::uint64_t newest_version = 0;
        time_point newest_since;
    };

    adapter_state& state_of(const std::string& model, const std::string& adapter);
    bool is_held(const std::string& name) const;
    bool is_loading(const std::string& name) const;
    bool is_outdated(const std::string& name, const adapter_state& state) const;
    int places_taken() const;
    /// Adapters that gateways wait for, that are not on their way and not at hand.
    int backlog() const;
    /// Whether gateways wait for it, and it is neither held nor on its way.
    bool is_awaited(const std::string& name, const adapter_state& state) const;
    /// How many are awaited.
    int awaited() const;
    int free_places() const;
    /// Loads from the weight store that may be on their way at once.
    int store_loads_allowed() const;
    int usable_slots() const;
    /// The engine's present name, or empty while it is not certain.
    std::string upstream() const;
    bool is_at_hand(const std::string& name) const;
    void note_dropped(const std::string& name);
    std::optional<engine_order> model_order(time_point now);
    std::optional<engine_order> replacement_order(time_point now);
    std::optional<engine_order> load_order(time_point now);
    std::optional<engine_order> unload_order(time_point now);
    void withdraw_victims(time_point now);
    engine_order make_order(engine_order::operation op, const adapter_state& state) const;

    std::optional<engine_report> report_;
    /// Whether nothing has happened since the report that may have changed what it says.
    bool is_report_current_ = false;
    int adapter_slots_ = 0;
    std::vector<std::string> models_;
    std::map<std::string, adapter_state> adapters_;
    /// Ordered and not seen in a report yet, with the time of the order.
    std::map<std::string, time_point> ordered_;
    /// A load that was ordered and not answered: it may still be carried out, also after a restart
    /// of the engine, while the engine's count of orders is the one that it names.
    struct unsettled_load {
        std::uint64_t orders_before = 0;
        std::string upstream;
        bool is_of_earlier_life = false;
        time_point expires;
    };

    std::vector<unsettled_load> unsettled_;
    /// Start of the engine's process, by its last report.
    std::uint64_t born_ms_ = 0;
    /// The newest name that gateways know for the engine, and the start of the process that bears
    /// it.
    std::string told_upstream_;
    std::uint64_t told_born_ms_ = 0;
    /// When each load under way was ordered.
    std::map<std::string, time_point> load_began_;
    /// Smoothed time of one load from the weight store, in seconds.
    double load_time_s_ = 0;
    /// The shortest load from the weight store that was seen, in seconds.
    double least_load_time_s_ = 0;
    /// Adapters that the engine has dropped and most likely still has at hand, oldest first.
    std::deque<std::string> at_hand_;
    std::optional<time_point> model_ordered_at_;
    std::optional<time_point> paused_until_;
};

} // namespace snipespar::sidecar
