#pragma once

#include "http_session.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace users_platform_stand_in {

/// Role and timing of a worker.
struct worker_options {
    std::string id;
    /// Version of its software, which marks the events of its streams; empty for no mark.
    std::string software;
    /// Serves a base model and adapters, and accepts orders.
    bool is_engine = false;
    /// An engine that has no model until it is ordered to load it.
    bool is_empty = false;
    int adapter_slots = 4;
    std::chrono::milliseconds load_time{30};
    /// Pause between two events of a stream.
    std::chrono::milliseconds event_pause{10};
    int events = 8;
};

/// A worker of the users' platform: runs plain requests and streams, and records its runs, which
/// `GET /runs` returns. `POST /faults` with `{"leaving": BOOL, "shed_ms": NUMBER, "crash_on":
/// TEXT}` makes it announce its stop in all its answers, turn away requests with a Retry-After for
/// that long, or end `crash_after_ms` after it has begun to run a request whose body contains the
/// text, also if its caller has left; send single bytes instead of events after the third one; or
/// send each plain answer twice. `fail_status` makes it answer plain requests with that status
/// after it has run them, without saying that it has not; with `repeat_refusal` it writes a
/// refusal, which names no request, before it runs a plain request. With `pause_ms` it falls silent
/// for that long after the third event of a stream and before a plain answer, and `answer_bytes`
/// pads plain answers to that size; with `crash_on_part` it ends after the first event of a stream
/// whose prompt has that part. The requests turned away are counted in `GET /runs`.
///
/// A stream has `events` events whose data is the request id, the number and the version of the
/// worker's software if it has one, which may continue any stream; a plain response is
/// the request id and the request's body. Targets that contain `/slow/` take ten times as long.
class worker {
public:
    worker(boost::asio::io_context& context, worker_options options);

    boost::asio::awaitable<bool> handle(boost::asio::ip::tcp::socket& socket,
                                        const request& message);

private:
    response report() const;
    response order(const request& message);
    response set_faults(const request& message);
    /// Adds what the worker states in each of its answers.
    response marked(response answer) const;
    boost::asio::awaitable<bool> run(boost::asio::ip::tcp::socket& socket, const request& message);
    boost::asio::awaitable<void> send_endless(boost::asio::ip::tcp::socket& socket,
                                              const request& message);
    boost::asio::awaitable<void> send_unframed(boost::asio::ip::tcp::socket& socket,
                                               const request& message);
    boost::asio::awaitable<bool> stream(boost::asio::ip::tcp::socket& socket,
                                        const request& message);
    bool is_resident(const std::string& model) const;
    void finish_loads();

    boost::asio::io_context& context_;
    worker_options options_;
    std::uint64_t process_start_ms_;
    std::uint64_t orders_ = 0;
    std::set<std::string> models_;
    /// Completion time of each load, by `model/adapter`.
    std::map<std::string, std::chrono::steady_clock::time_point> loading_;
    std::set<std::string> adapters_;
    int running_ = 0;
    /// Orders that exceeded the number of adapter slots.
    int overfull_orders_ = 0;
    bool is_leaving_ = false;
    bool trickles_ = false;
    bool repeats_answers_ = false;
    bool repeats_refusal_ = false;
    unsigned fail_status_ = 0;
    std::chrono::milliseconds silence_{};
    std::size_t min_answer_bytes_ = 0;
    /// Named in all answers; 0 for none.
    double rate_limit_ = 0;
    /// Load stated in all answers but those of streams; empty for none.
    std::string stated_load_;
    bool is_unframed_ = false;
    bool cuts_in_event_ = false;
    bool resets_in_body_ = false;
    /// The whole answer to a request that continues a stream; empty for a sound one.
    std::string resumption_;
    /// What does not end; empty for nothing.
    std::string endless_;
    std::uint64_t endless_bytes_ = 0;
    int endless_open_ = 0;
    std::string crash_on_;
    std::chrono::milliseconds crash_delay_{};
    /// Id of a prompt part.
    std::string crash_on_part_;
    std::chrono::steady_clock::time_point shed_until_;
    /// Requests turned away with a Retry-After.
    int requests_shed_ = 0;
    nlohmann::json runs_ = nlohmann::json::array();
};

} // namespace users_platform_stand_in
