#include "gateway/crash_guard.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
constexpr auto step = milliseconds(10);
constexpr auto tick_interval = milliseconds(250);
constexpr auto network_delay = milliseconds(2);
constexpr auto response_time = milliseconds(400);
constexpr auto time_to_crash = milliseconds(60);
constexpr auto engine_down_time = seconds(3);
constexpr int max_attempts = 3;
// The users' bounds on the smallest of their sites.
constexpr auto contact_time = seconds(3);
constexpr int crashes_before_bound = 5;
constexpr int requests_allowed_after = 3;
constexpr double smallest_served_share = 0.5;

constexpr poison::fingerprint common_part = poison::part_flag | 1;
constexpr poison::fingerprint bad_part = poison::part_flag | 2;

struct fleet_options {
    int gateways = 5;
    int engines = 9;
    /// Sound requests and requests with the bad part, per second.
    double sound_rate = 160;
    double bad_rate = 8;
    /// Adapters and sessions; each request has one of both.
    int adapters = 40;
    int sessions = 300;
    double loss = 0;
    /// All engines end at this time after the start of the run.
    duration power_lost_after = seconds(1000);
    /// Gateways that are restarted every two seconds, one after the other.
    bool has_restarts = false;
    std::uint64_t seed = 1;
};

struct running_request {
    request_prints prints;
    std::size_t gateway = 0;
    int adapter = 0;
    int attempt = 1;
    bool is_bad = false;
    time_point begins_at;
    time_point ends_at;
    time_point sent_at;
};

/// What the callers and engines of a run see.
struct fleet_record {
    int crashes = 0;
    /// Requests with the bad part that reached engines after the users' bound.
    int bad_after_bound = 0;
    int sound_after_bound = 0;
    int sound_refused_after_bound = 0;
    int messages = 0;
};

/// Gateways with real crash guards before engines that crash when they begin to answer a request
/// with the bad part. All adapters of a group share the order of their engines.
class crash_fleet {
public:
    explicit crash_fleet(const fleet_options& options)
        : options_(options), random_(options.seed),
          guards_(static_cast<std::size_t>(options.gateways)),
          engines_(static_cast<std::size_t>(options.engines))
    {
    }

    fleet_record run(seconds length)
    {
        for (now_ = start; now_ < start + length; now_ += step) {
            deliver();
            if (now_ - start == options_.power_lost_after) {
                for (std::size_t i = 0; i < engines_.size(); ++i) {
                    crash(i);
                }
                bound_at_ = now_ + engine_down_time;
            }
            for (std::size_t i = 0; i < engines_.size(); ++i) {
                run_engine(i);
            }
            if (now_ > start + seconds(1)) {
                arrive(options_.bad_rate, true);
            }
            arrive(options_.sound_rate, false);
            tick();
        }
        return record_;
    }

private:
    struct engine {
        std::vector<running_request> requests;
        time_point down_until;
        std::uint64_t process_start_ms = 1;
    };
    struct message {
        std::size_t to = 0;
        poison::suspect_digest digest;
        time_point due;
    };

    bool is_past_bound() const { return bound_at_ && now_ > *bound_at_; }

    void arrive(double rate, bool is_bad)
    {
        const double mean = rate * std::chrono::duration<double>(step).count();
        for (int i = std::poisson_distribution<int>(mean)(random_); i > 0; --i) {
            // Few sessions and adapters get most of the requests.
            const auto skewed = [&](int count) {
                const double x = std::uniform_real_distribution<double>(0, 1)(random_);
                return static_cast<int>(x * x * x * count);
            };
            running_request request;
            request.adapter = skewed(options_.adapters);
            const auto session = poison::part_flag | (1000U + skewed(options_.sessions));
            request.prints = {++requests_, {common_part, session}};
            if (is_bad) {
                request.prints.parts.insert(request.prints.parts.begin() + 1, bad_part);
            }
            request.is_bad = is_bad;
            request.gateway = random_() % guards_.size();
            if (!is_bad && is_past_bound()) {
                ++record_.sound_after_bound;
            }
            send(request);
        }
    }

    void send(running_request request)
    {
        auto& guard = guards_[request.gateway];
        const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
        if (guard.is_refused(request.prints, now_) &&
            (request.attempt > 1 ||
             !guard.begin_trial(request.prints, options_.gateways, draw, now_))) {
            if (!request.is_bad && request.attempt == 1 && is_past_bound()) {
                ++record_.sound_refused_after_bound;
            }
            return;
        }
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            auto& target =
                engines_[(static_cast<std::size_t>(request.adapter) * 7 + i) % engines_.size()];
            if (now_ < target.down_until) {
                continue;
            }
            request.sent_at = now_;
            request.begins_at = now_ + milliseconds(20 + random_() % 200);
            request.ends_at = request.begins_at + response_time;
            if (request.is_bad && is_past_bound()) {
                ++record_.bad_after_bound;
            }
            target.requests.push_back(request);
            return;
        }
    }

    void run_engine(std::size_t number)
    {
        auto& item = engines_[number];
        if (now_ < item.down_until) {
            return;
        }
        const bool crashes = std::ranges::any_of(item.requests, [&](const auto& request) {
            return request.is_bad && now_ >= request.begins_at + time_to_crash;
        });
        if (crashes) {
            return crash(number);
        }
        std::erase_if(item.requests, [&](const auto& request) {
            if (now_ < request.ends_at) {
                return false;
            }
            guards_[request.gateway].on_sound(request.prints.parts, now_);
            guards_[request.gateway].on_completed(request.prints, now_);
            return true;
        });
    }

    void crash(std::size_t number)
    {
        auto& item = engines_[number];
        const upstream_id id(fmt::format("i-{}", number));
        const auto broken = std::exchange(item.requests, {});
        item.down_until = now_ + engine_down_time;
        std::vector<bool> is_affected(guards_.size(), false);
        for (const auto& request : broken) {
            auto prints = request.prints;
            if (now_ < request.begins_at) {
                prints.parts.clear();
            }
            guards_[request.gateway].on_broken(prints, id, item.process_start_ms, request.sent_at,
                                               now_);
            is_affected[request.gateway] = true;
        }
        ++item.process_start_ms;
        if (++record_.crashes == crashes_before_bound) {
            bound_at_ = now_ + contact_time;
        }
        for (std::size_t i = 0; i < guards_.size(); ++i) {
            if (is_affected[i] && guards_[i].on_upstream_ended(id, now_)) {
                broadcast(i, guards_[i].urgent_announcement(now_));
            }
        }
        for (auto request : broken) {
            if (++request.attempt <= max_attempts) {
                send(request);
            }
        }
    }

    void broadcast(std::size_t from, const poison::suspect_digest& digest)
    {
        for (std::size_t to = 0; to < guards_.size() && !digest.empty(); ++to) {
            if (to != from) {
                send_findings(to, digest);
            }
        }
    }

    void send_findings(std::size_t to, const poison::suspect_digest& digest)
    {
        ++record_.messages;
        if (!std::bernoulli_distribution(options_.loss)(random_)) {
            network_.push_back({to, digest, now_ + network_delay});
        }
    }

    void deliver()
    {
        std::erase_if(network_, [&](const auto& item) {
            if (now_ < item.due) {
                return false;
            }
            guards_[item.to].merge(item.digest, now_);
            return true;
        });
    }

    void tick()
    {
        if ((now_ - start) % tick_interval != duration{}) {
            return;
        }
        for (std::size_t i = 0; i < guards_.size(); ++i) {
            guards_[i].on_tick(now_);
            broadcast(i, guards_[i].next_announcement(now_));
        }
        if (options_.has_restarts && (now_ - start) % seconds(2) == duration{}) {
            const auto restarted = random_() % guards_.size();
            guards_[restarted] = crash_guard();
            // Three of the others tell it, three times each.
            for (std::size_t i = 0; i < 9; ++i) {
                const auto other = (restarted + 1 + i % 3) % guards_.size();
                const auto findings = guards_[other].refused_findings(now_);
                if (other != restarted && !findings.empty()) {
                    send_findings(restarted, findings);
                }
            }
        }
    }

    fleet_options options_;
    std::mt19937_64 random_;
    time_point now_;
    std::optional<time_point> bound_at_;
    std::vector<crash_guard> guards_;
    std::vector<engine> engines_;
    std::vector<message> network_;
    std::uint64_t requests_ = 0;
    fleet_record record_;
};

// Returns what breaks the users' bounds on these fleets, over several seeds; empty if nothing does.
std::string check(fleet_options options, std::uint64_t seeds = 8)
{
    std::string broken;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const auto record = crash_fleet(options).run(seconds(20));
        const double refused = record.sound_refused_after_bound;
        const double served =
            1 - refused / std::max(static_cast<double>(record.sound_after_bound), 1.0);
        if (record.bad_after_bound > requests_allowed_after || served < smallest_served_share ||
            record.crashes == 0) {
            broken += fmt::format("seed {}: {} crashes, {} requests after the bound, {:.3f} sound "
                                  "requests not refused, {} messages\n",
                                  options.seed, record.crashes, record.bad_after_bound, served,
                                  record.messages);
        }
    }
    return broken;
}

} // namespace

/// A prompt part that crashes engines is contained by the gateways of a fleet within the users'
/// bound, and sound requests that share everything else go on.
class gateway_crash_guard_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_crash_guard_fleet_test);
    CPPUNIT_TEST(small_fleet);
    CPPUNIT_TEST(one_adapter_carries_all_requests);
    CPPUNIT_TEST(few_sessions_are_near_every_crash);
    CPPUNIT_TEST(messages_are_lost_and_gateways_restart);
    CPPUNIT_TEST(many_gateways_see_one_crash_each);
    CPPUNIT_TEST(loss_of_all_engines_condemns_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void small_fleet() { CPPUNIT_ASSERT_EQUAL(std::string(), check({})); }

    void one_adapter_carries_all_requests()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.adapters = 1}));
    }

    void few_sessions_are_near_every_crash()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.adapters = 4, .sessions = 3}));
    }

    void messages_are_lost_and_gateways_restart()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.loss = 0.3, .has_restarts = true}));
    }

    // Guards against parts that are refused for good after a loss of power.
    void loss_of_all_engines_condemns_nothing()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.bad_rate = 0, .power_lost_after = seconds(8)}));
    }

    void many_gateways_see_one_crash_each()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string(),
            check({.gateways = 26, .engines = 41, .sound_rate = 300, .bad_rate = 10}, 2));
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.gateways = 68,
                                                   .engines = 62,
                                                   .sound_rate = 600,
                                                   .bad_rate = 15,
                                                   .loss = 0.1,
                                                   .has_restarts = true},
                                                  2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_crash_guard_fleet_test);

} // namespace snipespar::gateway
