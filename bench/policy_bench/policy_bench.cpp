// Simulates upstream selection in virtual time, with the real scheduler of each agent and small
// fakes of the engines and the weight store. Prints one line per run; results are reproducible for
// a seed.
//
// usage: policy_bench POLICY FAULT SEED
//   POLICY: two_choice, consistent_hash, least_loaded, random
//   FAULT:  none, shift, restart, failed_loads, slow_store

#include "agent/scheduler.h"
#include "base/stable_hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <fmt/core.h>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace snipespar;
using namespace std::chrono_literals;

constexpr std::size_t engine_count = 9;
constexpr std::size_t adapter_count = 3000;
constexpr std::uint32_t slots = 16;
constexpr std::uint32_t max_running = 16;
constexpr double popularity_exponent = 1.6;
constexpr duration token_time = 10ms;
constexpr duration prompt_token_time = 50us;
constexpr duration request_timeout = 5s;
constexpr duration run_time = 300s;
constexpr duration fault_at = 150s;
constexpr duration tick = 100ms;
constexpr double loads_per_s = 3;
constexpr std::uint32_t max_concurrent_loads = 2;

struct team_load {
    const char* name;
    double weight;
    double requests_per_s;
    bool exceeds_rate;
};

// The last team exceeds its rate several times over.
constexpr std::array<team_load, 5> teams{{{"a", 1, 4, false},
                                          {"b", 1, 4, false},
                                          {"c", 2, 8, false},
                                          {"d", 2, 8, false},
                                          {"flood", 1, 40, true}}};

struct request_state {
    agent::work_item item;
    std::size_t team = 0;
    std::size_t engine = 0;
    std::uint32_t attempts = 0;
    time_point arrived;
    bool needed_load = false;
};

struct event {
    enum class kind { arrival, run_end, load_end, evict_end, read, tick, fault, retry };
    time_point at;
    std::uint64_t order = 0;
    kind type = kind::tick;
    std::size_t engine = 0;
    agent::request_number id = 0;
    adapter_ref adapter{};
    agent::fencing_number fence = 0;
    std::uint64_t incarnation = 0;

    friend bool operator>(const event& left, const event& right)
    {
        return std::pair(left.at, left.order) > std::pair(right.at, right.order);
    }
};

struct engine_state {
    agent::scheduler decisions;
    std::set<adapter_ref> resident;
    std::set<agent::request_number> running;
    std::uint64_t incarnation = 1;
};

class bench {
public:
    bench(std::string_view policy, std::string_view fault, std::uint64_t seed)
        : policy_(policy), fault_(fault), random_(seed), policy_random_(seed + 1)
    {
        double sum = 0;
        for (std::size_t i = 1; i <= adapter_count; ++i) {
            sum += std::pow(static_cast<double>(i), -popularity_exponent);
            popularity_.push_back(sum);
        }
        agent::scheduler_options options;
        options.max_running = max_running;
        options.initial_token_time = token_time;
        options.residency.slots = slots;
        options.residency.checks_fencing = true;
        for (std::size_t i = 0; i < engine_count; ++i) {
            engines_.push_back({agent::scheduler(options), {}, {}, 1});
        }
    }

    void run()
    {
        for (std::size_t i = 0; i < engine_count; ++i) {
            apply_actions(i, engines_[i].decisions.start(now_));
            push({.at = now_ + tick, .type = event::kind::tick, .engine = i});
        }
        for (std::size_t team = 0; team < teams.size(); ++team) {
            push({.at = next_arrival(team), .type = event::kind::arrival, .engine = team});
        }
        push({.at = now_ + fault_at, .type = event::kind::fault});
        while (!events_.empty() && events_.top().at < time_point{} + run_time) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(next);
        }
    }

    void print(std::uint64_t seed)
    {
        double worst = 1;
        for (std::size_t i = 0; i < teams.size(); ++i) {
            if (!teams[i].exceeds_rate && requested_tokens_[i] > 0) {
                worst = std::min(worst, static_cast<double>(received_tokens_[i]) /
                                            static_cast<double>(requested_tokens_[i]));
            }
        }
        fmt::print("policy={} fault={} seed={} requests={} completed={} refused_within_rate={} "
                   "refused_over_rate={} failed={} loads={} stalled={} stall_p50_ms={} "
                   "stall_p99_ms={} refused_after_p50_ms={} first_run_p99_ms={} batch_mean={:.2f} "
                   "worst_team_share={:.3f}\n",
                   policy_, fault_, seed, requests_.size(), completed_, refused_within_rate_,
                   refused_over_rate_, failed_, loads_, stalls_ms_.size(),
                   percentile(stalls_ms_, 50), percentile(stalls_ms_, 99),
                   percentile(refused_after_ms_, 50), percentile(waits_ms_, 99),
                   batch_sum_ / std::max(1.0, batch_samples_), worst);
    }

private:
    void push(event next)
    {
        next.order = ++last_order_;
        events_.push(std::move(next));
    }

    static std::int64_t percentile(std::vector<std::int64_t>& values, std::size_t percent)
    {
        if (values.empty()) {
            return 0;
        }
        std::ranges::sort(values);
        return values[(values.size() - 1) * percent / 100];
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    time_point next_arrival(std::size_t team)
    {
        const double seconds = -std::log(1 - uniform()) / teams.at(team).requests_per_s;
        return now_ + duration(static_cast<duration::rep>(seconds * 1e6));
    }

    adapter_ref random_adapter()
    {
        const double point = uniform() * popularity_.back();
        const auto rank = std::ranges::lower_bound(popularity_, point) - popularity_.begin();
        const auto number = (static_cast<std::size_t>(rank) + shift_) % adapter_count;
        return {adapter_id("a" + std::to_string(number)), "1"};
    }

    std::vector<std::size_t> ranked(const adapter_ref& adapter) const
    {
        std::vector<std::pair<double, std::size_t>> scores;
        scores.reserve(engine_count);
        const auto key = stable_hash(adapter.str());
        for (std::size_t i = 0; i < engine_count; ++i) {
            scores.emplace_back(-rendezvous_score(key, i, 1.0), i);
        }
        std::ranges::sort(scores);
        std::vector<std::size_t> order;
        order.reserve(scores.size());
        for (const auto& [score, index] : scores) {
            order.push_back(index);
        }
        return order;
    }

    std::size_t load_of(std::size_t engine) const
    {
        const auto state = engines_[engine].decisions.state();
        return state.queued + state.running;
    }

    std::size_t choose(const request_state& request)
    {
        const auto order = ranked(*request.item.adapter);
        if (policy_ == "consistent_hash") {
            return order.at(request.attempts);
        }
        if (policy_ == "random") {
            return policy_random_() % engine_count;
        }
        if (policy_ == "least_loaded") {
            const auto offset = policy_random_() % engine_count;
            std::size_t best = offset;
            for (std::size_t i = 0; i < engine_count; ++i) {
                const auto other = (offset + i) % engine_count;
                best = load_of(other) < load_of(best) ? other : best;
            }
            return best;
        }
        const std::size_t first = order[0];
        const std::size_t second = order[1];
        if (request.attempts > 0) {
            return request.engine == first ? second : first;
        }
        const bool first_resident = engines_[first].resident.contains(*request.item.adapter);
        const bool second_resident = engines_[second].resident.contains(*request.item.adapter);
        if (first_resident != second_resident) {
            return first_resident ? first : second;
        }
        return load_of(second) + 1 < load_of(first) && second_resident ? second : first;
    }

    void handle(const event& next)
    {
        auto& engine = engines_.at(next.engine);
        const bool stale = next.incarnation != 0 && next.incarnation != engine.incarnation;
        switch (next.type) {
        case event::kind::arrival:
            push({.at = next_arrival(next.engine),
                  .type = event::kind::arrival,
                  .engine = next.engine});
            arrive(next.engine);
            return;
        case event::kind::retry:
            send(next.id);
            return;
        case event::kind::run_end:
            end_run(next);
            return;
        case event::kind::load_end:
            end_load(next, stale);
            return;
        case event::kind::evict_end:
            engine.resident.erase(next.adapter);
            apply_actions(next.engine,
                          engine.decisions.on_evict_done(next.adapter, next.fence, !stale, now_));
            return;
        case event::kind::read:
            apply_actions(next.engine, engine.decisions.on_upstream_read(
                                           engine.incarnation, engine.resident, now_ - 1ms, now_));
            return;
        case event::kind::tick:
            push({.at = now_ + tick, .type = event::kind::tick, .engine = next.engine});
            apply_actions(next.engine, engine.decisions.on_tick(now_));
            if (!engine.running.empty()) {
                batch_sum_ += static_cast<double>(engine.running.size());
                ++batch_samples_;
            }
            return;
        case event::kind::fault:
            inject_fault();
            return;
        }
    }

    void arrive(std::size_t team)
    {
        request_state request;
        request.item.id = requests_.size() + 1;
        request.item.team = team_id(teams.at(team).name);
        request.item.weight = teams.at(team).weight;
        request.item.adapter = random_adapter();
        request.item.prompt_tokens = 50 + random_() % 400;
        request.item.max_tokens = 16 + random_() % 96;
        request.item.deadline = now_ + request_timeout;
        request.team = team;
        request.arrived = now_;
        requested_tokens_.at(team) += request.item.cost();
        requests_.emplace(request.item.id, request);
        send(request.item.id);
    }

    void send(agent::request_number id)
    {
        auto& request = requests_.at(id);
        request.engine = choose(request);
        ++request.attempts;
        auto& engine = engines_[request.engine];
        request.needed_load = !engine.resident.contains(*request.item.adapter);
        apply_actions(request.engine, engine.decisions.on_request(request.item, now_));
    }

    void end_run(const event& next)
    {
        auto& engine = engines_.at(next.engine);
        if (engine.running.erase(next.id) == 0) {
            return;
        }
        const auto& request = requests_.at(next.id);
        const auto model = request.item.adapter->str();
        received_tokens_.at(request.team) += request.item.cost();
        apply_actions(next.engine,
                      engine.decisions.on_done(next.id, model, request.item.cost(), now_));
    }

    void end_load(const event& next, bool stale)
    {
        auto& engine = engines_.at(next.engine);
        const bool fails = fault_ == "failed_loads" && fault_active_ && policy_random_() % 4 == 0;
        const bool ok = !stale && !fails;
        if (ok) {
            engine.resident.insert(next.adapter);
        }
        apply_actions(next.engine,
                      engine.decisions.on_load_done(next.adapter, next.fence, ok, now_));
    }

    void inject_fault()
    {
        fault_active_ = true;
        if (fault_ == "shift") {
            shift_ = adapter_count / 2;
        }
        if (fault_ == "restart") {
            auto& engine = engines_.front();
            ++engine.incarnation;
            engine.resident.clear();
            engine.running.clear();
            apply_actions(0, engine.decisions.on_upstream_crashed(now_));
            push({.at = now_ + 5s, .type = event::kind::read, .engine = 0});
        }
    }

    void apply_actions(std::size_t engine, const agent::scheduler_actions& actions)
    {
        for (const auto& action : actions) {
            std::visit([&](const auto& value) { apply_action(engine, value); }, action);
        }
    }

    void apply_action(std::size_t engine, const agent::run& action)
    {
        const auto& request = requests_.at(action.id);
        engines_[engine].running.insert(action.id);
        const auto wait =
            std::chrono::duration_cast<std::chrono::milliseconds>(now_ - request.arrived);
        waits_ms_.push_back(wait.count());
        if (request.needed_load) {
            stalls_ms_.push_back(wait.count());
        }
        const duration run_duration =
            request.item.prompt_tokens * prompt_token_time + request.item.max_tokens * token_time;
        push({.at = now_ + run_duration,
              .type = event::kind::run_end,
              .engine = engine,
              .id = action.id});
    }

    void apply_action(std::size_t, const agent::complete&) { ++completed_; }
    void apply_action(std::size_t, const agent::fail&) { ++failed_; }

    void apply_action(std::size_t, const agent::refuse& action)
    {
        constexpr std::uint32_t max_attempts = 2;
        const auto& request = requests_.at(action.id);
        if (request.attempts < max_attempts) {
            push({.at = now_ + 1ms, .type = event::kind::retry, .id = action.id});
            return;
        }
        const auto waited = now_ - request.arrived;
        refused_after_ms_.push_back(waited / 1ms);
        ++(teams.at(request.team).exceeds_rate ? refused_over_rate_ : refused_within_rate_);
    }

    void apply_action(std::size_t engine, const agent::load_adapter& action)
    {
        ++loads_;
        const bool slow = fault_ == "slow_store" && fault_active_;
        push({.at = now_ + (slow ? duration(2s) : duration(250ms)),
              .type = event::kind::load_end,
              .engine = engine,
              .adapter = action.adapter,
              .fence = action.fence,
              .incarnation = engines_[engine].incarnation});
    }

    void apply_action(std::size_t engine, const agent::evict_adapter& action)
    {
        push({.at = now_ + 5ms,
              .type = event::kind::evict_end,
              .engine = engine,
              .adapter = action.adapter,
              .fence = action.fence,
              .incarnation = engines_[engine].incarnation});
    }

    void apply_action(std::size_t engine, const agent::raise_fence&)
    {
        apply_actions(engine, engines_[engine].decisions.on_fence_raised(now_));
    }

    void apply_action(std::size_t engine, const agent::read_upstream&)
    {
        push({.at = now_ + 1ms, .type = event::kind::read, .engine = engine});
    }

    // Grants permits in the order of the requests; a refusal includes the time until one is due.
    void apply_action(std::size_t engine, const agent::ask_load_permit& action)
    {
        const std::pair key(engine, action.adapter);
        const auto interval = duration(static_cast<duration::rep>(1e6 / loads_per_s));
        const auto earliest = now_ - interval * max_concurrent_loads;
        auto due = due_permits_.find(key);
        if (due == due_permits_.end()) {
            const auto next = std::max(last_permit_, earliest) + interval;
            if (next - now_ > request_timeout) {
                refuse_permit(engine, action.adapter, next - now_);
                return;
            }
            last_permit_ = next;
            due = due_permits_.emplace(key, next).first;
        }
        if (due->second > now_ || permits_in_use_ >= max_concurrent_loads) {
            refuse_permit(engine, action.adapter, std::max<duration>(due->second - now_, 20ms));
            return;
        }
        due_permits_.erase(due);
        ++permits_in_use_;
        apply_actions(engine,
                      engines_[engine].decisions.on_load_permit(action.adapter, true, {}, now_));
    }

    void refuse_permit(std::size_t engine, const adapter_ref& adapter, duration retry_after)
    {
        apply_actions(engine,
                      engines_[engine].decisions.on_load_permit(adapter, false, retry_after, now_));
    }

    void apply_action(std::size_t, const agent::release_load_permit&)
    {
        permits_in_use_ -= permits_in_use_ > 0 ? 1 : 0;
    }

    void apply_action(std::size_t, const agent::cancel_run&) {}
    void apply_action(std::size_t, const agent::report_crash&) {}
    void apply_action(std::size_t, const agent::announce&) {}

    std::string_view policy_;
    std::string_view fault_;
    // The workload has a separate generator, so that it is the same for each policy.
    std::mt19937_64 random_;
    std::mt19937_64 policy_random_;
    time_point now_{};
    std::uint64_t last_order_ = 0;
    std::vector<double> popularity_;
    std::vector<engine_state> engines_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::map<agent::request_number, request_state> requests_;
    std::size_t shift_ = 0;
    bool fault_active_ = false;
    std::map<std::pair<std::size_t, adapter_ref>, time_point> due_permits_;
    time_point last_permit_{};
    std::uint32_t permits_in_use_ = 0;
    std::array<std::uint64_t, teams.size()> requested_tokens_{};
    std::array<std::uint64_t, teams.size()> received_tokens_{};
    std::vector<std::int64_t> stalls_ms_;
    std::vector<std::int64_t> waits_ms_;
    std::vector<std::int64_t> refused_after_ms_;
    std::size_t completed_ = 0;
    std::size_t failed_ = 0;
    std::size_t refused_within_rate_ = 0;
    std::size_t refused_over_rate_ = 0;
    std::size_t loads_ = 0;
    double batch_sum_ = 0;
    double batch_samples_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    constexpr int arguments = 4;
    if (argc != arguments) {
        fmt::print(stderr, "usage: policy_bench POLICY FAULT SEED\n");
        return EXIT_FAILURE;
    }
    const auto seed = std::strtoull(argv[3], nullptr, 10);
    bench measured(argv[1], argv[2], seed);
    measured.run();
    measured.print(seed);
    return EXIT_SUCCESS;
}
