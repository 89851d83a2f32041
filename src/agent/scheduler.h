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

/// Limits of the work on one upstream.
struct scheduler_options {
    /// Requests that the upstream runs at once; at least one.
    std::uint32_t max_running = 1;
    /// Requests that wait at once; at least one.
    std::size_t max_queued = 64;
    /// Assumed time of one token until requests have ended.
    duration initial_token_time = std::chrono::milliseconds(1);
    /// When to come back to an upstream that is down.
    duration restart_estimate = std::chrono::seconds(2);
    residency_options residency;

    friend bool operator==(const scheduler_options&, const scheduler_options&) = default;
};

/// What a scheduler holds, for reports and tests.
struct scheduler_state {
    upstream_phase phase = upstream_phase::recovering;
    std::size_t queued = 0;
    std::size_t running = 0;
    /// Expected wait of a request that needs no load.
    duration queue_estimate{};
    std::vector<adapter_ref> resident;

    friend bool operator==(const scheduler_state&, const scheduler_state&) = default;
};

/// Decides what the one upstream of an agent runs, loads and evicts, and when.
///
/// Each request gets exactly one final action, complete, refuse or fail, unless its caller
/// cancels it, which ends it without one. A request that will not start in time is refused as
/// soon as that is known. Events about requests that have had their final action are ignored.
class scheduler {
public:
    explicit scheduler(scheduler_options options);

    /// Begins the recovery; the first event.
    scheduler_actions start(time_point now);

    scheduler_actions on_request(work_item item, time_point now);

    /// The caller no longer wants the answer.
    scheduler_actions on_cancel(request_number id, time_point now);

    /// First byte of an answer, before it is passed on. `model` is the adapter@version that the
    /// upstream says it runs; empty for plain services.
    scheduler_actions on_first_byte(request_number id, std::string_view model, time_point now);

    /// The whole answer has come; `tokens` counts prompt and generated ones.
    scheduler_actions on_done(request_number id, std::string_view model, std::uint64_t tokens,
                              time_point now);

    /// The exchange ended early, by the upstream or by cancel_run. `sent` tells whether any byte
    /// of the request may have reached the upstream.
    scheduler_actions on_failed(request_number id, bool sent, time_point now);

    scheduler_actions on_load_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                   time_point now);
    scheduler_actions on_evict_done(const adapter_ref& adapter, fencing_number fence, bool ok,
                                    time_point now);
    scheduler_actions on_fence_raised(time_point now);
    scheduler_actions on_load_permit(const adapter_ref& adapter, bool granted, duration retry_after,
                                     time_point now);

    /// The upstream's process ended: whatever ran has ended with it.
    scheduler_actions on_upstream_crashed(time_point now);

    /// The upstream answered a read that was sent at `asked_at`. A new incarnation means that it
    /// restarted, whether or not its end was seen.
    scheduler_actions on_upstream_read(std::uint64_t incarnation, const std::set<adapter_ref>& held,
                                       time_point asked_at, time_point now);

    /// Requests with this fingerprint are now suspected of crashing upstreams: queued ones are
    /// refused unless they are to run alone, so that they are placed anew.
    scheduler_actions on_suspect(std::uint64_t fingerprint, duration retry_after, time_point now);

    /// No new requests; those held are finished.
    scheduler_actions on_drain(time_point now);

    /// To be called at least every 100 ms.
    scheduler_actions on_tick(time_point now);

    scheduler_state state() const;
    const residency& adapters() const { return residency_; }

private:
    struct running_item {
        work_item item;
        time_point started;
        /// The caller has its final answer or has left; only the end is awaited.
        bool abandoned = false;
    };
    using running_map = std::map<request_number, running_item>;

    bool is_runnable(const work_item& item) const;
    /// Expected time until the first of the running requests ends, if no more may run now.
    duration time_to_free_run() const;
    duration wait_estimate(const work_item& item, time_point now) const;
    std::optional<refuse> reason_to_refuse(const work_item& item, time_point now) const;
    std::optional<refuse> reason_to_give_up(const work_item& item, time_point now) const;
    void refuse_hopeless(scheduler_actions& actions, time_point now);
    void dispatch(scheduler_actions& actions, time_point now);
    void start_one(const work_item& next, scheduler_actions& actions, time_point now);
    std::vector<adapter_want> wanted_adapters() const;
    void end_run(running_map::iterator ended);
    void abandon(running_item& entry, failure_reason reason, scheduler_actions& actions) const;
    void fail_all_running(scheduler_actions& actions);
    scheduler_actions advance(scheduler_actions actions, time_point now);
    void announce_change(scheduler_actions& actions);
    upstream_phase phase() const;
    static bool echoes(const work_item& item, std::string_view model);

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
