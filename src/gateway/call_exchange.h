#pragma once

#include "control/admission_answer.h"
#include "control/admission_request.h"
#include "control/permit_answer.h"
#include "gateway/admission_wait.h"
#include "gateway/answer_header.h"
#include "gateway/call.h"
#include "gateway/event_splitter.h"
#include "gateway/memory_share.h"
#include "gateway/permit_wait.h"
#include "gateway/placed_call.h"
#include "gateway/request_prints.h"
#include "gateway/stream_version.h"
#include "gateway/upstream_selector.h"
#include "gateway/upstream_table.h"
#include "resume/stream_key.h"
#include "resume/stream_origin.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <absl/status/status.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::gateway {

class caller_connection;
class fleet_config;
class upstream_channel;
struct gateway_context;
struct refusal;
struct route_rule;
struct service_rule;
struct team_rule;

/// Handles one caller's request: chooses an upstream, sends the request there, retries on another
/// one if allowed, and forwards the response.
class call_exchange : public std::enable_shared_from_this<call_exchange> {
public:
    call_exchange(gateway_context& context, std::shared_ptr<caller_connection> caller, call request,
                  time_point arrived, memory_share request_share);

    void start();

    /// The caller closed its connection: cancels the work.
    void on_caller_disconnected();

    /// Ends the exchange after an internal fault. Its caller learns whether the call may have run.
    void abort();

    /// Ends the exchange without an answer, which promises nothing.
    void drop();

    const std::string& request_id() const { return call_.request_id; }

    /// Gives the call its final answer, since the process is about to exit.
    void end_for_stop();

    /// Checks the timeouts.
    void on_tick(time_point now);

    /// Size of the answer being received if it is far larger than those of its route usually are,
    /// otherwise 0.
    std::size_t oversized_bytes() const;

    /// Gives up that answer, so that its memory serves others.
    void cut_oversized_answer();

    /// Logs that the process exits before the exchange has ended.
    void log_cut() const;

    /// The sidecar of an engine has answered whether the call may be sent.
    void on_admission(const control::admission_answer& answer);

    /// The gateway that keeps the rate of an upstream has answered whether the call may be sent.
    void on_permit(const control::permit_answer& answer);

    /// The lookup of the origin of the stream that the caller takes up has ended.
    void on_origin(const std::optional<resume::stream_origin>& origin);

    /// The status of an upstream changed, which the exchange may be waiting for.
    void on_engine_status(const upstream_id& upstream);

private:
    /// A complete response, kept while another upstream may still give a better one.
    struct buffered_response {
        answer_header header;
        std::string body;
    };

    /// A stream that broke off and cannot go on at the moment.
    struct resume_wait {
        std::uint64_t number = 0;
        std::string cause;
        /// Its caller has most likely left then.
        time_point until;
    };

    bool resolve();
    bool is_taken_while_stopping() const;
    const service_rule* pick_service() const;
    bool admit(const service_rule* service);
    void find_origin();
    void stop_finding_origin();
    void wait_for_registry(time_point now);
    void take_up(const std::optional<resume::stream_origin>& known, bool is_recorded);
    std::optional<resume::stream_origin> sole_origin(time_point now) const;
    bool confirm_version();
    void record_origin(time_point now);
    bool is_of_required_version(const upstream_id& upstream) const;
    void try_next_upstream();
    placement choose_upstream(time_point now);
    bool is_sound_target(const upstream_id& upstream, time_point now) const;
    void leave_silent_upstream(time_point now);
    void wait_for_load(const upstream_id& upstream, time_point now);
    void stop_waiting();
    /// Whether the upstream, known to be reporting, can still load the adapter.
    bool may_still_load(const upstream_id& upstream, time_point now) const;
    bool reserve_attempt(time_point now);
    void dispatch(const upstream_id& upstream, time_point now);
    void dispatch_permitted(const upstream_id& upstream, time_point now);
    void dispatch_unlimited(const upstream_id& upstream, time_point now);
    void wait_for_permit(const upstream_id& upstream, permit_kind kind, time_point now);
    void ask_for_permit(time_point now);
    void on_permit_granted(time_point now);
    void on_permit_denied(duration wait, time_point now);
    bool may_run_at(const upstream_id& upstream) const;
    void report_rate_ended(const upstream_state& state);
    void stop_waiting_for_permit();
    void tick_permit(time_point now);
    void ask_for_admission(control::admission_request::purpose intent, const upstream_id& upstream,
                           std::uint64_t number, duration max_wait);
    void take_step(admission_wait::step step, time_point now);
    void stop_asking();
    time_point timely_until() const;
    duration aim_wait() const;
    duration max_admission_wait(time_point now) const;
    int urgency() const;
    void send(const upstream_id& upstream, time_point now);
    void log_resumption(const upstream_state& state);
    void on_header(const answer_header& header);
    void note_upstream_state(const answer_header& header);
    time_point wanted_by() const;
    void learn_cost(call_result result, time_point now);
    void on_body(std::string_view bytes);
    void drop_partial_answer();
    std::size_t buffered_bytes() const;
    bool takes_memory_of_answer();
    std::size_t expected_answer_bytes() const;
    void learn_answer_bytes(std::size_t bytes);
    void on_ended();
    void on_failed(const absl::Status& status);
    void begin_stream();
    bool continues_stream(const answer_header& header) const;
    void forward_events(std::string_view bytes, time_point now);
    void note_gap(duration gap);
    void on_stream_ended();
    void end_stream();
    void forward_buffered(const buffered_response& response);
    void on_not_run();
    void log_failed_attempt(std::string_view cause) const;
    void on_attempt_failed(std::string_view cause);
    void resume_on_another_upstream(std::string_view cause);
    void release_upstream(call_result result, bool keeps_channel);
    bool can_try_again(time_point now) const;
    void give_up(std::string_view cause);
    void give_up_for_now(std::string_view cause);
    void give_up_for_good();
    void wait_to_resume(std::string_view cause, time_point until, time_point now);
    void try_to_resume(time_point now);
    void stop_waiting_to_resume();
    time_point patience_end() const;
    duration retry_delay();
    void refuse(const refusal& refused);
    void abort_response(std::string_view cause);
    void log_late_response();
    void log_paused_stream();
    void finish();
    bool is_refused_for_crashes();
    bool is_refused_meanwhile(time_point now) const;
    void note_broken(const upstream_state& state);
    void note_abandoned(time_point now);
    request_prints suspects() const;
    request_prints prints() const;
    std::vector<poison::fingerprint> part_prints() const;
    std::uint64_t content_hash() const;
    std::string shared_parts_text() const;
    std::string adapter_key() const;
    std::uint64_t min_version(time_point now) const;
    duration stall_timeout() const;

    gateway_context& context_;
    std::shared_ptr<caller_connection> caller_;
    call call_;
    /// Memory of the request's body, and of the answers that are kept.
    memory_share request_share_;
    memory_share answer_share_;
    time_point arrived_at_;
    time_point deadline_;

    std::shared_ptr<const fleet_config> config_;
    const route_rule* route_ = nullptr;
    const service_rule* service_ = nullptr;
    const team_rule* team_ = nullptr;
    std::uint64_t tokens_ = 0;

    /// Upstreams that are not tried again.
    std::set<upstream_id> excluded_;
    /// Requests that have or may have reached an upstream, including refused ones.
    int sends_ = 0;
    /// The requests among them that may have run.
    int runs_ = 0;
    /// Refused requests that no longer count, since the stream has waited after them.
    int forgiven_sends_ = 0;
    /// The upstream at which the stream last broke off.
    upstream_id broken_at_;
    /// The team was charged for the call.
    bool is_charged_ = false;

    /// Set while the call waits for the permit to be sent to an upstream.
    std::optional<permit_wait> permit_;
    int refused_permits_ = 0;
    /// Set while the call waits for the admission of its prompt.
    std::optional<admission_wait> admission_;
    /// Engines that could not take the prompt in time.
    int refused_admissions_ = 0;
    /// Total time spent in such waits.
    duration admission_time_{};

    upstream_id upstream_;
    std::shared_ptr<upstream_channel> channel_;
    time_point sent_at_;
    /// What was forecast for the current attempt; set for plain calls.
    std::optional<placed_call> placed_;
    duration forecast_{};
    /// Staleness of the status from which the upstream was chosen.
    duration status_age_{};
    time_point progress_at_;
    /// When another upstream is next looked for while the current one is silent.
    time_point next_search_at_;
    bool has_response_begun_ = false;
    std::optional<answer_header> header_;
    std::string body_;
    std::optional<buffered_response> failed_response_;

    /// When an upstream presumably accepts the call, if none did so far.
    std::optional<time_point> opens_at_;
    /// `opens_at_` is this caller's own turn.
    bool has_turn_ = false;
    upstream_id pending_upstream_;
    /// Deadline for all waits for the adapter, set at the first one.
    std::optional<time_point> wait_deadline_;
    int waits_ = 0;
    /// When the first byte of a streamed response body arrived.
    std::optional<time_point> first_byte_at_;

    /// When events were last forwarded, and the longest pause between two of them.
    std::optional<time_point> last_event_at_;
    duration longest_gap_{};

    /// The software version that began the stream, which alone can continue it.
    stream_version version_;
    /// Set while the origin of the stream is looked up.
    std::optional<std::uint64_t> origin_lookup_;
    /// The upstreams known when it was looked up (`upstream_table::membership`).
    std::uint64_t lookup_membership_ = 0;
    /// Set while the call waits for the registry to be read: until then at most.
    std::optional<time_point> registry_wait_ends_;
    /// When the origin of a stream that this attempt began is recorded again.
    std::optional<time_point> next_record_at_;

    event_splitter events_;
    std::optional<std::uint64_t> last_event_;
    bool is_stream_open_ = false;
    /// Its first answer says that it is a stream of events.
    bool is_event_stream_ = false;
    /// The current upstream was asked to go on after the events that the caller has.
    bool is_resumption_ = false;
    /// It has sent events that the caller did not have.
    bool has_added_events_ = false;
    /// Resumptions that were complete and added no event.
    int empty_resumptions_ = 0;
    /// When a stream that ended with its upstream's connection counts as complete, unless its
    /// upstream turns out to have ended.
    std::optional<time_point> end_confirmed_at_;
    std::optional<resume_wait> resume_;
    /// Sent although it was refused, to learn more.
    bool is_trial_ = false;
    bool is_done_ = false;
};

} // namespace snipespar::gateway
