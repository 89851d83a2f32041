#pragma once

#include "agent/fair_queue.h"
#include "agent/residency.h"
#include "agent/scheduler_action.h"
#include "agent/service_rate.h"
#include "agent/work_item.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::agent {

/// Limits of the requests on one upstream.
struct scheduler_options {
    /// Requests that the upstream runs concurrently; at least one.
    std::uint32_t max_running = 1;
    /// Capacity of the queue; at least one.
    std::size_t max_queued = 64;
    /// Assumed time per token until a request has completed.
    duration initial_token_time = std::chrono::milliseconds(1);
    /// Retry delay given to callers while the upstream is down.
    duration restart_estimate = std::chrono::seconds(2);
    residency_options residency;

    friend bool operator==(const scheduler_options&, const scheduler_options&) = default;
};

/// Snapshot of a scheduler, for reports and tests.
struct scheduler_state {
    upstream_phase phase = upstream_phase::recovering;
    std::size_t queued = 0;
    std::size_t running = 0;
    /// Expected queueing delay of a request that needs no load.
    duration queue_estimate{};
    std::vector<adapter_ref> resident;

    friend bool operator==(const scheduler_state&, const scheduler_state&) = default;
};

/// Schedules requests, loads and evictions on the one upstream of an agent.
///
/// Each request gets exactly one final action (complete, refuse or fail), unless its caller
/// cancels it, which ends it without one. A request that cannot start before its deadline is
/// refused as soon as that is known. Events about requests that had their final action are ignored.
class scheduler {
public:
    explicit scheduler(scheduler_options options);

    /// Starts recovery; must be the first event.
    scheduler_actions start(time_point now);

    scheduler_actions on_request(work_item item, time_point now);

    /// The caller cancelled the request.
    scheduler_actions on_cancel(request_number id, time_point now);

    /// First byte of a response, before it is forwarded. `model` is the adapter@version that the
    /// upstream reports; empty for plain services.
    scheduler_actions on_first_byte(request_number id, std::string_view model, time_point now);

    /// The response is complete; `tokens` counts prompt and generated tokens.
    scheduler_actions on_done(request_number id, std::string_view model, std::uint64_t tokens,
                              time_point now);

    /// The exchange ended early, because of the upstream or cancel_run. `sent` tells whether any
    /// byte of the request may have reached the upstream.
    scheduler_actions on_failed(request_number id, bool sent, time_point now);

    scheduler_actions on_load_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                   time_point now);
    scheduler_actions on_evict_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                    time_point now);
    scheduler_actions on_fence_raised(time_point now);
    scheduler_actions on_load_permit(const adapter_ref& adapter, bool granted, duration retry_after,
                                     time_point now);

    /// The upstream's process ended, and every running request with it.
    scheduler_actions on_upstream_crashed(time_point now);

    /// Response to a read sent at `read_sent_at`. A new incarnation means that the upstream
    /// restarted, even if its crash was not detected.
    scheduler_actions on_upstream_read(std::uint64_t incarnation,
                                       const std::set<adapter_ref>& resident_adapters,
                                       time_point read_sent_at, time_point now);

    /// Requests with this fingerprint are now suspected of crashing upstreams: queued ones that
    /// are not exclusive are refused, so that they are placed again.
    scheduler_actions on_suspect(std::uint64_t fingerprint, duration retry_after, time_point now);

    /// Refuses new requests and finishes the accepted ones.
    scheduler_actions on_drain(time_point now);

    /// Must be called at least every 100 ms.
    scheduler_actions on_tick(time_point now);

    scheduler_state state() const;
    const residency& adapters() const { return residency_; }

private:
    struct running_item {
        work_item item;
        time_point started;
        /// The caller has the final response or cancelled; the run has yet to end.
        bool abandoned = false;
    };
    using running_map = std::map<request_number, running_item>;

    bool is_runnable(const work_item& item) const;
    /// Expected time until a running request ends, or zero below the concurrency limit.
    duration time_to_free_run() const;
    duration wait_estimate(const work_item& item, time_point now) const;
    std::optional<refuse> reason_to_refuse(const work_item& item, time_point now) const;
    std::optional<refuse> unservable_reason(const work_item& item, time_point now) const;
    void refuse_unservable(scheduler_actions& actions, time_point now);
    void dispatch(scheduler_actions& actions, time_point now);
    void start_one(const work_item& next, scheduler_actions& actions, time_point now);
    std::vector<queued_adapter> queued_adapters() const;
    void end_run(running_map::iterator ended);
    void abandon(running_item& entry, failure_reason reason, scheduler_actions& actions) const;
    void fail_all_running(scheduler_actions& actions);
    scheduler_actions advance(scheduler_actions actions, time_point now);
    void announce_phase_change(scheduler_actions& actions);
    upstream_phase phase() const;
    static bool model_matches(const work_item& item, std::string_view model);

    scheduler_options options_;
    fair_queue queue_;
    residency residency_;
    service_rate rate_;
    running_map running_;
    std::optional<std::uint64_t> incarnation_;
    bool up_ = true;
    bool draining_ = false;
    std::optional<upstream_phase> announced_;
};

} // namespace snipespar::agent
