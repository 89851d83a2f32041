#pragma once

#include "gateway/upstream_state.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::gateway {

/// How a call at an upstream ended, as far as the upstream's health is concerned.
enum class call_result {
    success,
    /// It answered with a failure, broke off, or could not be reached.
    failure,
    /// It refused the call because it is full; says nothing about its health.
    refused,
};

/// All upstreams that this gateway knows, their health and what runs there.
class upstream_table {
public:
    /// An upstream has announced itself or changed.
    void update(const upstream_entry& entry, time_point now);

    /// An entry has disappeared. It stays usable for a moment, longer just after the registry was
    /// away, since entries that lapsed meanwhile come back.
    void remove(const upstream_id& id, time_point now);

    /// Replaces all: entries that are not listed are removed.
    void replace(const std::vector<upstream_entry>& entries, time_point now);

    /// The registry answers again after it was away.
    void on_registry_return(time_point now) { registry_returned_at_ = now; }

    void on_engine_status(const engine_status& status, time_point now);

    void on_call_sent(const upstream_id& id, std::string_view adapter, std::uint64_t tokens);
    /// The upstream has begun to answer a call.
    void on_call_answering(const upstream_id& id, std::uint64_t tokens, time_point now);
    /// More of an answer has come.
    void on_progress(const upstream_id& id, time_point now);
    /// `unanswered_tokens`: prompt tokens of a call that ended before its answer began. Returns
    /// whether the upstream should be told at once that the adapter is no longer used there.
    bool on_call_ended(const upstream_id& id, std::string_view adapter,
                       std::uint64_t unanswered_tokens, call_result result, time_point now);
    /// The upstream did not hold an adapter that was believed to be there.
    void on_adapter_missing(const upstream_id& id, std::string_view adapter);
    void on_adapter_wait(const upstream_id& id, std::string_view adapter, int change);

    /// The upstream should hold the adapter for calls to come; returns whether that is news.
    bool on_replica_wanted(const upstream_id& id, std::string_view adapter, time_point now);

    /// Forgets upstreams that have gone and hold no call.
    void on_tick(time_point now);

    const upstream_state* find(const upstream_id& id) const;
    const std::map<upstream_id, upstream_state>& all() const { return states_; }

    /// Whether new calls may go there at all.
    static bool is_open(const upstream_state& state, time_point now);

    /// Whether an adapter of the model that is not there yet may come soon.
    static bool can_load(const upstream_state& state, const std::string& model, time_point now);

    /// Whether neither the upstream nor its sidecar has been heard for a while, though calls wait
    /// there: its host may stand still or be cut off.
    static bool is_silent(const upstream_state& state, time_point now);

private:
    std::map<upstream_id, upstream_state> states_;
    /// Statuses of engines whose entry is not known yet, by address.
    std::map<std::string, engine_status> early_statuses_;
    std::optional<time_point> registry_returned_at_;
};

} // namespace snipespar::gateway
