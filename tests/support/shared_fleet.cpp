#include "support/shared_fleet.h"

#include "gateway/return_schedule.h"

#include <algorithm>

namespace snipespar::testing {

using namespace gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start_time{seconds(100)};
constexpr auto network = std::chrono::microseconds(700);
constexpr int max_sends = 3;

duration to_duration(double span_s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span_s));
}

} // namespace

struct shared_fleet::attempt {
    std::size_t gateway = 0;
    time_point first_sent;
    time_point arrived;
    double work_s = 0;
    bool is_retry = false;
    int sends = 0;
    std::set<std::size_t> tried;
    placed_call placed;
};

struct shared_fleet::server {
    std::size_t number = 0;
    upstream_nature nature;
    double slowdown = 1;
    int running = 0;
    std::deque<std::shared_ptr<attempt>> waiting;
};

struct shared_fleet::gateway_view {
    plain_chooser chooser{failure_domain_id("d0")};
    std::vector<upstream_state> states;
    std::mt19937_64 random;
    return_schedule returns;
};

shared_fleet::shared_fleet(load_pattern pattern, policy chosen, std::uint64_t seed)
    : pattern_(std::move(pattern)), policy_(chosen), random_(seed), speeds_(seed), returns_(seed)
{
    for (std::size_t i = 0; i < pattern_.upstreams.size(); ++i) {
        servers_.push_back({i, pattern_.upstreams[i], 1, 0, {}});
    }
    for (int i = 0; i < pattern_.gateways; ++i) {
        gateway_view view;
        view.chooser = plain_chooser(failure_domain_id("d" + std::to_string(i % 3)));
        view.random.seed(seed * 1000 + static_cast<std::uint64_t>(i));
        for (std::size_t u = 0; u < servers_.size(); ++u) {
            upstream_state state;
            state.entry.id = upstream_id("u" + std::to_string(u));
            state.entry.service = "s";
            state.entry.failure_domain = failure_domain_id("d" + std::to_string(u % 3));
            state.entry.slots = pattern_.slots;
            view.states.push_back(state);
        }
        gateways_.push_back(std::move(view));
    }
    result_.sent.resize(servers_.size());
}

shared_fleet::~shared_fleet() = default;

void shared_fleet::at(time_point when, std::function<void()> action)
{
    events_.push({when, ++number_, std::move(action)});
}

double shared_fleet::draw_work()
{
    std::lognormal_distribution<double> draw(-0.11, 0.47);
    std::uniform_real_distribution<double> tail(0, 1);
    return pattern_.work_s * draw(random_) * (tail(random_) < 0.01 ? 5 : 1) / 1.04;
}

shared_fleet::result shared_fleet::run()
{
    const auto end = start_time + to_duration(pattern_.length_s);
    std::function<void()> arrivals = [&] {
        if (now_ >= end) {
            return;
        }
        const bool is_burst = now_ >= pattern_.burst_from && now_ < pattern_.burst_until;
        const double rate = pattern_.calls_per_s * (is_burst ? pattern_.burst : 1);
        const int clump = std::uniform_int_distribution<int>(1, 3)(random_);
        for (int i = 0; i < clump; ++i) {
            attempt call;
            call.gateway = random_() % gateways_.size();
            call.first_sent = now_;
            call.work_s = draw_work();
            ++result_.calls;
            arrive(std::move(call));
        }
        at(now_ + to_duration(std::exponential_distribution<double>(rate / 2)(random_)), arrivals);
    };
    std::function<void(std::size_t)> change_speed = [&](std::size_t u) {
        // Mostly near the usual speed, at times far below it.
        const double draw = std::uniform_real_distribution<double>(0, 1)(speeds_);
        servers_[u].slowdown = 1 + (pattern_.max_slowdown - 1) * draw * draw * draw;
        at(now_ + to_duration(std::exponential_distribution<double>(4)(speeds_)),
           [&, u] { change_speed(u); });
    };
    at(now_, arrivals);
    for (std::size_t u = 0; u < servers_.size(); ++u) {
        at(now_, [&, u] { change_speed(u); });
    }
    while (!events_.empty() && now_ < end + seconds(3)) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.when;
        next.action();
    }
    return result_;
}

std::optional<std::size_t> shared_fleet::choose(gateway_view& gateway, attempt& call)
{
    std::vector<const upstream_state*> candidates;
    for (std::size_t u = 0; u < servers_.size(); ++u) {
        if (!call.tried.contains(u) && now_ >= gateway.states[u].ejected_until) {
            candidates.push_back(&gateway.states[u]);
        }
    }
    const upstream_state* best = nullptr;
    call.placed = {{}, "s", "r", {}, now_};
    if (candidates.empty()) {
        refuse(call, now_);
        return std::nullopt;
    }
    if (policy_ == policy::forecast) {
        const auto deadline = call.first_sent + pattern_.limit;
        const auto wanted_by =
            call.sends == 0 ? std::min(call.arrived + pattern_.aim, deadline) : deadline;
        const plain_chooser::need need{"r", pattern_.aim, wanted_by, call.sends > 0,
                                       pattern_.gateways};
        if (const auto chosen = gateway.chooser.choose(need, candidates, gateway.random, now_)) {
            best = chosen->upstream;
            call.placed.forecast = chosen->forecast;
            if (best == nullptr) {
                refuse(call, gateway.returns.next(chosen->opens_at,
                                                  chosen->rate_per_s / pattern_.gateways, now_));
                return std::nullopt;
            }
        }
    }
    if (best == nullptr) {
        std::uniform_real_distribution<double> jitter(0, policy_ == policy::random ? 100 : 0.1);
        double lowest = 1e9;
        for (const auto* state : candidates) {
            const bool is_own =
                state->entry.failure_domain.str() == "d" + std::to_string(call.gateway % 3);
            const double cost = state->in_flight + (is_own ? 0 : 0.3) +
                                4.0 * pattern_.slots * std::max(state->failure_rate - 0.2, 0.0) +
                                jitter(gateway.random);
            if (cost < lowest) {
                lowest = cost;
                best = state;
            }
        }
    }
    call.placed.upstream = best->entry.id;
    return static_cast<std::size_t>(best - gateway.states.data());
}

void shared_fleet::arrive(attempt call)
{
    call.arrived = now_;
    const auto shared = std::make_shared<attempt>(std::move(call));
    if (const auto upstream = choose(gateways_[shared->gateway], *shared)) {
        send(shared, *upstream);
    }
}

void shared_fleet::send(const std::shared_ptr<attempt>& call, std::size_t upstream)
{
    auto& gateway = gateways_[call->gateway];
    ++call->sends;
    call->tried.insert(upstream);
    ++result_.sent[upstream];
    ++gateway.states[upstream].in_flight;
    gateway.chooser.forecaster().on_sent(call->placed);
    at(now_ + network, [this, call, upstream] {
        auto& server = servers_[upstream];
        const auto& nature = server.nature;
        if (now_ >= nature.down_from && now_ < nature.down_until) {
            return at(now_ + network, [this, call, upstream] { fail(call, upstream); });
        }
        if (server.running >= pattern_.slots &&
            server.waiting.size() >= static_cast<std::size_t>(pattern_.queue)) {
            return answer(call, upstream, true);
        }
        server.waiting.push_back(call);
        start(server);
    });
}

void shared_fleet::start(server& upstream)
{
    while (upstream.running < pattern_.slots && !upstream.waiting.empty()) {
        const auto call = upstream.waiting.front();
        upstream.waiting.pop_front();
        if (now_ > call->first_sent + pattern_.limit) {
            ++result_.failed;
            continue;
        }
        ++upstream.running;
        const double slowdown = upstream.slowdown * upstream.nature.hidden_slowdown;
        at(now_ + to_duration(call->work_s * slowdown), [this, call, number = upstream.number] {
            auto& server = servers_[number];
            answer(call, number, false);
            --server.running;
            start(server);
        });
    }
}

stated_load shared_fleet::load_of(const server& upstream) const
{
    return upstream.nature.false_load.value_or(
        stated_load{upstream.running, static_cast<int>(upstream.waiting.size()), pattern_.slots,
                    upstream.slowdown});
}

void shared_fleet::answer(const std::shared_ptr<attempt>& call, std::size_t upstream, bool was_shed)
{
    at(now_ + network, [this, call, upstream, was_shed, load = load_of(servers_[upstream])] {
        auto& gateway = gateways_[call->gateway];
        auto& state = gateway.states[upstream];
        auto& forecaster = gateway.chooser.forecaster();
        state.load = load;
        state.load_at = now_;
        --state.in_flight;
        if (was_shed) {
            forecaster.on_shed(call->placed, load, now_);
            forecaster.on_given_up(call->placed, false, now_);
            if (call->sends >= max_sends) {
                return refuse(*call, now_);
            }
            if (const auto next = choose(gateway, *call)) {
                send(call, *next);
            }
            return;
        }
        forecaster.on_answered(call->placed, load, now_);
        state.failure_rate += 0.12 * (0 - state.failure_rate);
        state.consecutive_failures = 0;
        const auto took = now_ - call->first_sent;
        ++(took <= pattern_.aim     ? result_.on_time
           : took <= pattern_.limit ? result_.late
                                    : result_.failed);
    });
}

void shared_fleet::fail(const std::shared_ptr<attempt>& call, std::size_t upstream)
{
    auto& gateway = gateways_[call->gateway];
    auto& state = gateway.states[upstream];
    --state.in_flight;
    state.failure_rate += 0.12 * (1 - state.failure_rate);
    if (++state.consecutive_failures >= 4) {
        state.ejected_until = now_ + milliseconds(500);
    }
    gateway.chooser.forecaster().on_given_up(call->placed, false, now_);
    if (call->sends >= max_sends) {
        ++result_.failed;
        return;
    }
    if (const auto next = choose(gateway, *call)) {
        send(call, *next);
    }
}

// Callers come back once, when they are told to and within a third of the time that they have left.
void shared_fleet::refuse(const attempt& call, time_point opens_at)
{
    const bool has_free = std::ranges::any_of(
        servers_, [&](const auto& server) { return server.running < pattern_.slots; });
    result_.refused_with_free_slots += has_free ? 1 : 0;
    if (call.is_retry) {
        ++result_.refused;
        return;
    }
    attempt retry;
    retry.gateway = returns_() % gateways_.size();
    retry.first_sent = call.first_sent;
    retry.work_s = call.work_s;
    retry.is_retry = true;
    const auto spread = milliseconds(std::uniform_int_distribution<int>(150, 600)(returns_));
    const auto told = opens_at > now_ ? opens_at : now_ + duration(spread);
    const auto latest = now_ + (call.first_sent + pattern_.limit - now_) / 3;
    at(std::min(told, latest), [this, retry] { arrive(retry); });
}

} // namespace snipespar::testing
