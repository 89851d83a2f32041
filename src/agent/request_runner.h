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

/// What a runner needs to know of its upstream.
struct runner_options {
    upstream_id id;
    /// Start number of this agent.
    std::uint64_t start = 0;
    /// Whether the upstream loads adapters; otherwise it is a plain service.
    bool is_engine = true;
    scheduler_options scheduling;
    /// Least time between two loads; zero for no limit.
    duration load_interval{};
};

/// What a runner tells its agent.
struct runner_events {
    /// The report has changed in a way that entries should know at once.
    std::function<void()> changed;
    /// Nothing is left to finish after `drain`.
    std::function<void()> drained;
    /// More is known of requests that crash upstreams.
    std::function<void(const poison::suspect_digest&)> suspects;
};

/// Carries out the scheduler's decisions on the upstream: exchanges, orders and reads. Runs on the
/// executor's thread.
class request_runner {
public:
    using emit_function = std::function<void(const link::frame&)>;

    request_runner(boost::asio::any_io_executor executor, upstream_address upstream,
                   runner_options options, runner_events events);

    void start();

    /// Takes a request; exactly one final frame is emitted, unless it is cancelled.
    void submit(const stream_key& key, link::run_request request, emit_function emit);

    /// Ends a request without a further frame.
    void cancel(const stream_key& key);

    /// Allows that many more bytes of an answer.
    void add_window(const stream_key& key, std::uint64_t bytes);

    bool contains(const stream_key& key) const { return numbers_.contains(key); }

    /// Refuses new requests and finishes those held.
    void drain();

    /// Takes what another process told about requests that crash upstreams.
    void merge_suspects(const poison::suspect_digest& digest);
    poison::suspect_digest suspects() const;

    link::upstream_report report() const;

    /// Cancels everything at once.
    void stop();

private:
    struct active_request {
        stream_key key;
        link::run_request request;
        emit_function emit;
        std::shared_ptr<upstream_call> call;
        /// The last frame of the exchange, until the scheduler has decided.
        std::optional<link::frame> last;
        bool first_seen = false;
        /// The entry has its final frame, or wants none.
        bool answered = false;
    };

    void apply(const scheduler_actions& actions);
    void carry_out(const run& action);
    void carry_out(const cancel_run& action);
    void carry_out(const complete& action);
    void carry_out(const refuse& action);
    void carry_out(const fail& action);
    void carry_out(const load_adapter& action);
    void carry_out(const evict_adapter& action);
    void carry_out(const raise_fence& action);
    void carry_out(const read_upstream& action);
    void carry_out(const ask_load_permit& action);
    void carry_out(const release_load_permit& action);
    void carry_out(const report_crash& action);
    void carry_out(const announce& action);
    void on_call_frame(request_number id, const link::frame& message);
    void on_call_finished(request_number id);
    void on_call_broken(request_number id);
    void on_probe(const probe_result& result, time_point asked_at);
    void answer(request_number id, const link::frame& message);
    void release(request_number id);
    void tick();

    boost::asio::any_io_executor executor_;
    boost::asio::steady_timer timer_;
    upstream_address upstream_;
    runner_options options_;
    runner_events events_;
    scheduler scheduler_;
    poison::suspect_record record_;
    load_permits permits_;
    adapter_orders orders_;
    upstream_probe probe_;
    std::map<request_number, active_request> requests_;
    std::map<stream_key, request_number> numbers_;
    /// Where the engine reads the weights of adapters from.
    std::map<adapter_ref, std::string> sources_;
    request_number last_number_ = 0;
    time_point next_probe_{};
    bool down_ = false;
    bool stopped_ = false;
};

} // namespace snipespar::agent
