#pragma once

#include "gateway/placed_call.h"
#include "gateway/plain_chooser.h"
#include "gateway/upstream_state.h"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace snipespar::testing {

/// Gateways that share a few small upstreams, in virtual time and without a network. Work is
/// heavy-tailed, arrivals come in clumps, and the speed of each upstream changes several times a
/// second.
class shared_fleet {
public:
    enum class policy { forecast, own_calls, random };

    /// An upstream as it is, whatever it states.
    struct upstream_nature {
        /// Factor on the time of its work that it does not state.
        double hidden_slowdown = 1;
        /// States this instead of its load.
        std::optional<gateway::stated_load> false_load;
        /// It is unreachable in this time.
        time_point down_from = time_point::max();
        time_point down_until = time_point::max();
    };

    struct load_pattern {
        int gateways = 32;
        std::vector<upstream_nature> upstreams;
        int slots = 6;
        int queue = 24;
        double calls_per_s = 383;
        double work_s = 0.03;
        duration aim = std::chrono::milliseconds(150);
        duration limit = std::chrono::seconds(1);
        /// The arrival rate between these times is this multiple of the usual one.
        double burst = 1;
        time_point burst_from;
        time_point burst_until;
        /// Largest slowdown that hosts reach.
        double max_slowdown = 2.5;
        double length_s = 30;
    };

    struct result {
        int calls = 0;
        int on_time = 0;
        int late = 0;
        int refused = 0;
        int failed = 0;
        /// Refusals while an upstream had a free slot.
        int refused_with_free_slots = 0;
        /// Calls sent, by upstream.
        std::vector<int> sent;

        double share(int part) const { return static_cast<double>(part) / std::max(calls, 1); }
    };

    shared_fleet(load_pattern pattern, policy chosen, std::uint64_t seed);
    ~shared_fleet();
    shared_fleet(const shared_fleet&) = delete;
    shared_fleet& operator=(const shared_fleet&) = delete;

    result run();

private:
    struct server;
    struct attempt;
    struct gateway_view;

    void at(time_point when, std::function<void()> action);
    void arrive(attempt call);
    void send(const std::shared_ptr<attempt>& call, std::size_t upstream);
    void start(server& upstream);
    void answer(const std::shared_ptr<attempt>& call, std::size_t upstream, bool was_shed);
    void fail(const std::shared_ptr<attempt>& call, std::size_t upstream);
    void refuse(const attempt& call, time_point opens_at);
    std::optional<std::size_t> choose(gateway_view& gateway, attempt& call);
    gateway::stated_load load_of(const server& upstream) const;
    double draw_work();

    struct event {
        time_point when;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(other.when, other.number) < std::tie(when, number);
        }
    };

    load_pattern pattern_;
    policy policy_;
    /// Of their own, so that each policy meets the same load.
    std::mt19937_64 random_;
    std::mt19937_64 speeds_;
    std::mt19937_64 returns_;
    std::priority_queue<event> events_;
    std::uint64_t number_ = 0;
    time_point now_{std::chrono::seconds(100)};
    std::vector<server> servers_;
    std::vector<gateway_view> gateways_;
    result result_;
};

} // namespace snipespar::testing
