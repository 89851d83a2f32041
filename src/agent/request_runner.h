#pragma once

#include "agent/adapter_orders.h"
#include "agent/load_permits.h"
#include "agent/scheduler.h"
#include "agent/stream_key.h"
#include "agent/upstream_call.h"
#include "agent/upstream_probe.h"
#include "link/frame.h"
#include "poison/suspect_record.h"
#include "snipespar/ids.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipespar::agent {

/// Parameters of a runner and its upstream.
struct runner_options {
    upstream_id id;
    /// Start number of this agent's incarnation.
    std::uint64_t start = 0;
    /// Whether the upstream is an engine that loads adapters, or else a plain service.
    bool is_engine = true;
    scheduler_options scheduling;
    /// Minimum time between two loads; zero for no limit.
    duration load_interval{};
};

/// Notifications from a runner to its agent.
struct runner_events {
    /// The report changed, and entries should get it immediately.
    std::function<void()> changed;
    /// The drain is complete.
    std::function<void()> drained;
    /// There is new evidence about requests that crash upstreams.
    std::function<void(const poison::suspect_digest&)> suspects;
};

/// Performs the scheduler's actions on the upstream: exchanges, orders and reads. Runs on the
/// executor's thread.
class request_runner {
public:
    using emit_function = std::function<void(const link::frame&)>;

    request_runner(boost::asio::any_io_executor executor, upstream_address upstream,
                   runner_options options, runner_events events);

    void start();

    /// Submits a request; emits exactly one final frame unless the request is cancelled.
    void submit(const stream_key& key, link::run_request request, emit_function emit);

    /// Cancels a request; no further frame is emitted.
    void cancel(const stream_key& key);

    /// Grants window for that many more bytes of a response.
    void add_window(const stream_key& key, std::uint64_t bytes);

    bool contains(const stream_key& key) const { return numbers_.contains(key); }

    /// Refuses new requests and finishes the accepted ones.
    void drain();

    /// Merges another process's digest of requests that crash upstreams.
    void merge_suspects(const poison::suspect_digest& digest);
    poison::suspect_digest suspects() const;

    link::upstream_report report() const;

    /// Cancels all requests immediately.
    void stop();

private:
    struct active_request {
        stream_key key;
        link::run_request request;
        emit_function emit;
        std::shared_ptr<upstream_call> call;
        /// The last frame of the exchange, held until the scheduler has decided.
        std::optional<link::frame> final_frame;
        bool first_byte_seen = false;
        /// The final frame was emitted, or the request was cancelled.
        bool output_closed = false;
    };

    void apply(const scheduler_actions& actions);
    void perform(const run& action);
    void perform(const cancel_run& action);
    void perform(const complete& action);
    void perform(const refuse& action);
    void perform(const fail& action);
    void perform(const load_adapter& action);
    void perform(const evict_adapter& action);
    void perform(const raise_fence& action);
    void perform(const read_upstream& action);
    void perform(const ask_load_permit& action);
    void perform(const release_load_permit& action);
    void perform(const report_crash& action);
    void perform(const announce& action);
    void on_call_frame(request_number id, const link::frame& message);
    void on_call_finished(request_number id);
    void on_call_failed(request_number id);
    void on_probe(const probe_result& result, time_point read_sent_at);
    void send_final(request_number id, const link::frame& message);
    void release(request_number id);
    void tick();

    boost::asio::any_io_executor executor_;
    boost::asio::steady_timer timer_;
    upstream_address upstream_;
    runner_options options_;
    runner_events events_;
    scheduler scheduler_;
    poison::suspect_record suspect_record_;
    load_permits permits_;
    adapter_orders orders_;
    upstream_probe probe_;
    std::map<request_number, active_request> requests_;
    std::map<stream_key, request_number> numbers_;
    /// Locations from which the engine loads adapter weights.
    std::map<adapter_ref, std::string> weight_sources_;
    request_number last_number_ = 0;
    time_point next_probe_{};
    bool down_ = false;
    /// Version of the engine's software as last read; empty if it states none.
    std::string software_;
    bool stopped_ = false;
};

} // namespace snipespar::agent
