#pragma once

#include "control/message.h"
#include "gateway/adapter_popularity.h"
#include "gateway/channel_pool.h"
#include "gateway/crash_guard.h"
#include "gateway/fleet_config.h"
#include "gateway/gateway_metrics.h"
#include "gateway/memory_budget.h"
#include "gateway/queue_clock.h"
#include "gateway/resume_queue.h"
#include "gateway/return_schedule.h"
#include "gateway/stop_plan.h"
#include "gateway/team_meter.h"
#include "gateway/upstream_selector.h"
#include "gateway/upstream_table.h"
#include "gateway/version_table.h"
#include "resume/stream_key.h"
#include "resume/stream_origin.h"
#include "route/retry_budget.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"
#include "telemetry/logger.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace snipespar::gateway {

class call_exchange;

/// State shared by all connections and exchanges of one gateway. Used on one thread.
struct gateway_context {
    /// Of the memory of the process one part is for requests being received, and one for answers;
    /// the rest is for its own state, and for what the allocator cannot give back.
    static constexpr std::size_t memory_parts = 6;

    gateway_context(const boost::asio::any_io_executor& runs_on, failure_domain_id domain,
                    std::uint64_t start, std::uint64_t seed, duration stop_grace,
                    std::size_t memory_limit, telemetry::logger& output)
        : executor(runs_on), log(output), selector(std::move(domain), seed), teams(start),
          channels(runs_on), random(seed), stop(stop_grace),
          request_memory(std::make_shared<memory_budget>(memory_limit / memory_parts)),
          answer_memory(std::make_shared<memory_budget>(memory_limit / memory_parts))
    {
    }
    ~gateway_context() = default;
    gateway_context(const gateway_context&) = delete;
    gateway_context& operator=(const gateway_context&) = delete;

    boost::asio::any_io_executor executor;
    telemetry::logger& log;
    gateway_metrics metrics;
    /// Null until a configuration has been received.
    std::shared_ptr<const fleet_config> config;
    upstream_table upstreams;
    upstream_selector selector;
    adapter_popularity popularity;
    team_meter teams;
    crash_guard crashes;
    /// By service.
    std::map<std::string, route::retry_budget> retries;
    /// Broken streams that wait for another upstream, by service.
    std::map<std::string, resume_queue> resumptions;
    std::uint64_t last_resumption = 0;
    version_table versions;
    /// When requests of callers arrived.
    queue_clock arrivals;
    channel_pool channels;
    std::mt19937_64 random;
    /// Exchanges in progress.
    std::set<std::shared_ptr<call_exchange>> exchanges;
    /// Gateways that share the upstreams, this one included.
    int gateways = 1;
    stop_plan stop;
    /// For the bodies of requests.
    std::shared_ptr<memory_budget> request_memory;
    /// For answers that are kept, or that their callers have not read.
    std::shared_ptr<memory_budget> answer_memory;
    /// Size of recent large answers, by route.
    std::map<std::string, std::size_t> answer_bytes;
    /// Cuts the answers that are far larger than those of their routes usually are, the largest
    /// first, until memory for answers is not scarce any more.
    std::function<void()> cut_oversized_answers = [] {};
    bool is_draining = false;
    /// The process of this upstream has ended.
    std::function<void(const upstream_id&)> report_upstream_ended;
    /// This upstream does not accept connections.
    std::function<void(const upstream_id&)> report_upstream_unreachable;
    /// Sends a message to the sidecar of this upstream.
    std::function<void(const upstream_id&, const control::message&)> send_to_sidecar;
    /// Calls that wait for admission, by number.
    std::map<std::uint64_t, std::weak_ptr<call_exchange>> admissions;
    std::uint64_t last_admission = 0;
    /// Calls that wait for a permit, by number.
    std::map<std::uint64_t, std::weak_ptr<call_exchange>> permits;
    std::uint64_t last_permit = 0;
    /// Asks for the permit of a call; nothing if another gateway has to answer.
    std::function<std::optional<control::permit_answer>(const control::permit_request&)> ask_permit;
    /// The gateway that issues the permits of this upstream does not answer.
    std::function<void(const upstream_id&)> report_silent_issuer;
    /// Tells those that hold the origins of streams where this one began.
    std::function<void(const resume::stream_key&, const resume::stream_origin&)> record_origin;
    /// Looks up the origin of a stream; the result goes to the call in `take_ups` of this number.
    std::function<void(std::uint64_t number, const resume::stream_key&)> find_origin;
    std::function<void(std::uint64_t number)> cancel_origin_lookup;
    /// Reads the upstreams' entries now, unless that has just been done.
    std::function<void()> read_registry;
    /// Calls that wait for an origin, by number.
    std::map<std::uint64_t, std::weak_ptr<call_exchange>> take_ups;
    std::uint64_t last_origin_lookup = 0;
    /// Callers that were refused as upstreams take no more requests, by service.
    std::map<std::string, return_schedule> returns;
    /// Name of the host, which sidecars know this gateway by.
    std::string host;
    /// Queues a demand message to the sidecar of this upstream.
    std::function<void(const upstream_id&)> send_demand;
};

} // namespace snipespar::gateway
