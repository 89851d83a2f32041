#pragma once

#include "cli/retention_rule.h"
#include "control/adapter_demand.h"
#include "sidecar/adapter_history.h"
#include "sidecar/engine_order.h"
#include "sidecar/engine_report.h"
#include "sidecar/load_time_estimate.h"
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

/// Decides which adapters are resident on one engine: loads those with waiting calls, evicts the
/// least recently used ones, or those with the least demand, and replaces outdated versions.
///
/// An adapter is withdrawn from the advertised status before it is evicted or replaced, so that
/// requests already in flight still find it.
class adapter_planner {
public:
    explicit adapter_planner(cli::retention_rule retention = cli::retention_rule::recency)
        : retention_(retention)
    {
    }

    void on_demand(const control::adapter_demand& demand, time_point now);
    void on_report(const engine_report& report, time_point now);
    void on_order_result(const engine_order& order, order_result result, time_point now);

    /// Returns the next order to send, if any. Its result must be passed to `on_order_result`
    /// before the next call.
    std::optional<engine_order> next_order(time_point now);

    /// The status to advertise to gateways; the caller fills in address, start and sequence.
    gateway::engine_status status() const;

    /// Gateways with waiting calls, including calls whose adapter is loading or already resident.
    std::set<std::string> waiting_gateways() const;

    /// Gateways that have lately used one of these adapters, where calls are counted.
    std::set<std::string> users_of(const std::vector<std::string>& adapters) const;

    /// Gateways that use any adapter at present.
    std::set<std::string> using_gateways() const;

    const load_time_estimate& load_time() const { return load_time_; }

    /// Adapters that calls wait for and that are neither resident nor being loaded.
    int pending_count() const;

    /// Whether an order, load, eviction or waiting call is outstanding, so that the engine should
    /// be polled soon.
    bool has_outstanding_work() const;

private:
    struct gateway_use {
        int waiting = 0;
        int running = 0;
        time_point reported_at;
        /// Until then one of the waiting calls can begin in time.
        time_point timely_until;
    };
    struct adapter_state {
        std::string model;
        std::string adapter;
        /// By gateway.
        std::map<std::string, gateway_use> uses;
        /// Gateways that lately stated a use, and when; only if calls are counted.
        std::map<std::string, time_point> recent_users;
        time_point last_used;
        /// Start of the current uninterrupted period with waiting calls.
        std::optional<time_point> waiting_since;
        /// When it was withdrawn from the advertised status; evicted or replaced after a delay.
        std::optional<time_point> withdrawn_at;
        /// The engine has accepted the unload and carries it out once its runs have ended.
        bool is_evicting = false;

        /// Waiting calls, summed over all gateways.
        int waiting() const;
        /// Whether a waiting call can begin in time if it is sent then.
        bool is_timely_at(time_point when) const;
        std::uint64_t newest_version = 0;
        time_point newest_since;
    };

    adapter_state& state_of(const std::string& model, const std::string& adapter);
    bool is_resident(const std::string& name) const;
    bool is_loading(const std::string& name) const;
    bool is_outdated(const std::string& name, const adapter_state& state) const;
    int slots_taken() const;
    /// Number of pending adapters that have to come from the weight store.
    int store_backlog() const;
    /// Whether it has waiting calls and is neither resident nor loading.
    bool is_pending(const std::string& name, const adapter_state& state) const;
    int free_slots() const;
    /// Limit of concurrent loads from the weight store.
    int store_loads_allowed() const;
    int usable_slots() const;
    /// Name of the engine's present incarnation; empty while it is unknown.
    std::string upstream() const;
    bool is_cached(const std::string& name) const;
    void note_evicted(const std::string& name);
    std::optional<engine_order> model_order(time_point now);
    std::optional<engine_order> replacement_order(time_point now);
    std::optional<engine_order> load_order(time_point now);
    std::optional<engine_order> unload_order(time_point now);
    void withdraw_victims(time_point now);
    engine_order make_order(engine_order::operation op, const adapter_state& state) const;

    /// Whether the first one is to be evicted before the second one.
    bool is_evicted_before(const adapter_state& left, const adapter_state& right,
                           time_point now) const;
    int slots_kept_free() const;

    cli::retention_rule retention_;
    adapter_history history_;
    std::optional<engine_report> report_;
    /// False once something has happened that may have invalidated the report.
    bool is_report_current_ = false;
    int adapter_slots_ = 0;
    std::vector<std::string> models_;
    std::map<std::string, adapter_state> adapters_;
    /// Accepted loads that no report has shown yet, with the time of the order.
    std::map<std::string, time_point> ordered_loads_;
    /// A load whose result never came. The engine may still carry it out, even after a restart, as
    /// long as its count of accepted orders equals `orders_before`.
    struct unresolved_load {
        std::uint64_t orders_before = 0;
        std::string upstream;
        bool is_from_earlier_incarnation = false;
        time_point expires;
    };

    std::vector<unresolved_load> unresolved_loads_;
    /// Start of the engine's process, from its last report.
    std::uint64_t process_start_ms_ = 0;
    /// The newest engine name reported by a gateway, and the start of that incarnation.
    std::string known_upstream_;
    std::uint64_t known_upstream_start_ms_ = 0;
    /// When each load in flight was ordered.
    std::map<std::string, time_point> load_ordered_at_;
    load_time_estimate load_time_;
    /// Evicted adapters that the engine most likely still caches, oldest first.
    std::deque<std::string> cached_;
    std::optional<time_point> model_ordered_at_;
    std::optional<time_point> cooldown_until_;
};

} // namespace snipespar::sidecar
