#pragma once

#include "gateway/answer_header.h"
#include "gateway/call.h"
#include "gateway/event_splitter.h"
#include "gateway/upstream_table.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <absl/status/status.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace snipespar::gateway {

class caller_connection;
class fleet_config;
class upstream_channel;
struct gateway_context;
struct refusal;
struct route_rule;
struct service_rule;
struct team_rule;

/// One caller's request on its way: finds an upstream, sends the request there, tries another one
/// where that is allowed, and passes the answer on.
class call_exchange : public std::enable_shared_from_this<call_exchange> {
public:
    call_exchange(gateway_context& context, std::shared_ptr<caller_connection> caller, call request,
                  time_point arrived);

    void start();

    /// The caller has closed its connection: the work is called off.
    void on_caller_left();

    /// Checks the time limits.
    void on_tick(time_point now);

    /// Something changed that the exchange may be waiting for.
    void on_engine_status(const upstream_id& upstream);

private:
    /// An answer that is kept until it is known whether another upstream does better.
    struct whole_answer {
        answer_header header;
        std::string body;
    };

    bool plan();
    void try_next();
    void wait_for_load(const upstream_id& upstream, time_point now);
    void stop_waiting();
    /// Whether the adapter may still come to an upstream whose sidecar has been heard.
    bool may_still_load(const upstream_id& upstream, time_point now) const;
    bool may_send(time_point now);
    void send(const upstream_id& upstream, time_point now);
    void on_header(const answer_header& header);
    void on_body(std::string_view bytes);
    void on_ended();
    void on_failed(const absl::Status& status);
    void pass_stream_header();
    void pass_events(std::string_view bytes);
    void end_stream();
    void pass_whole(const whole_answer& answer);
    void on_not_run();
    void on_attempt_failed(std::string_view cause);
    void resume_elsewhere(std::string_view cause);
    void release_upstream(call_result result, bool keeps_channel);
    bool can_try_again(time_point now) const;
    void give_up(std::string_view cause);
    duration return_time();
    void refuse(const refusal& refused);
    void abort_answer(std::string_view cause);
    void note_lateness();
    void finish();
    std::string adapter_key() const;
    std::uint64_t least_version(time_point now) const;
    duration stall_limit() const;

    gateway_context& context_;
    std::shared_ptr<caller_connection> caller_;
    call call_;
    time_point arrived_;
    time_point deadline_;

    std::shared_ptr<const fleet_config> config_;
    const route_rule* route_ = nullptr;
    const service_rule* service_ = nullptr;
    const team_rule* team_ = nullptr;
    std::uint64_t tokens_ = 0;

    /// Upstreams that are not tried (again).
    std::set<upstream_id> excluded_;
    /// Requests that reached or may have reached an upstream, refused ones included.
    int sends_ = 0;
    /// Those of them that may have run.
    int runs_ = 0;
    bool is_charged_ = false;

    upstream_id upstream_;
    std::shared_ptr<upstream_channel> channel_;
    time_point sent_at_;
    /// Age of the engine's status on which the choice of the upstream rested.
    duration status_age_{};
    time_point progress_at_;
    bool is_answering_ = false;
    std::optional<answer_header> header_;
    std::string body_;
    std::optional<whole_answer> failure_;

    upstream_id awaited_;
    /// When the call gives up waiting for its adapter, set at its first wait.
    std::optional<time_point> wait_ends_;
    int waits_ = 0;
    /// When the first byte for the caller was there.
    std::optional<time_point> answered_at_;

    event_splitter events_;
    std::optional<std::uint64_t> last_event_;
    bool is_stream_open_ = false;
    bool is_done_ = false;
};

} // namespace snipespar::gateway
