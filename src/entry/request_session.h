#pragma once

#include "entry/agent_links.h"
#include "entry/response_part.h"
#include "entry/upstream_chooser.h"
#include "link/frame/run_request.h"
#include "route/request_lifecycle.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace snipespar::entry {

/// Services of the entry for its sessions. The functions may be called from any thread.
struct session_services {
    /// Requests an upstream from the control side; the callback runs on any thread.
    std::function<void(const upstream_need&, const std::vector<upstream_id>& tried,
                       std::function<void(route::upstream_choice)>)>
        choose;
    std::function<void(const upstream_id&, attempt_outcome, duration took)> attempt_ended;
    agent_links& links;
    std::function<agent_links::ticket()> next_ticket;
};

/// Processes one request from admission to the end of its response: passes events of links and
/// timers to its lifecycle and carries out the lifecycle's actions. All members are called on one
/// executor.
class request_session : public std::enable_shared_from_this<request_session> {
public:
    request_session(const boost::asio::any_io_executor& executor, route::request_facts facts,
                    upstream_need need, link::run_request request, route::retry_budget& budget,
                    session_services services);

    void start();

    /// Waits for the next part of the response. Must not be called after response_end.
    boost::asio::awaitable<response_part> next();

    /// The connection wrote `bytes` of the response; the upstream may send as many more.
    void written(std::uint64_t bytes);

    void caller_disconnected();
    void key_withdrawn();

    const link::run_request& request() const { return request_; }

private:
    void apply(const route::lifecycle_actions& actions);
    void carry_out(const route::choose_upstream& action);
    void carry_out(const route::send_attempt& action);
    void carry_out(const route::cancel_attempt& action);
    void carry_out(const route::forward_token& action);
    void carry_out(const route::forward_head& action);
    void carry_out(const route::forward_body& action);
    void carry_out(const route::finish_request& action);
    void on_frame(route::attempt_number attempt, link::frame message);
    void on_attempt_lost(route::attempt_number attempt, bool sent);
    void end_attempt(attempt_outcome outcome);
    void arm_timer();
    void push(response_part part);

    boost::asio::any_io_executor executor_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer part_ready_;
    upstream_need need_;
    link::run_request request_;
    session_services services_;
    route::request_lifecycle lifecycle_;
    std::deque<response_part> parts_;
    /// The stream of the current attempt; 0 without one.
    agent_links::ticket ticket_ = 0;
    upstream_id upstream_;
    time_point attempt_began_{};
    /// Outcome of a cancelled attempt: an unresponsive upstream has failed, but a disconnected
    /// caller or a withdrawn key is no evidence against it.
    attempt_outcome cancel_outcome_ = attempt_outcome::failed;
    /// The frame being handled; the lifecycle's forward actions refer to it.
    link::frame current_frame_;
    response_end end_;
};

} // namespace snipespar::entry
