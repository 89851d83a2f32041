#include "gateway/peer_directory.h"
#include "gateway/permit_wait.h"
#include "gateway/rate_permits.h"
#include "gateway/upstream_table.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
constexpr auto step = milliseconds(10);
constexpr auto network_delay = milliseconds(2);
constexpr auto response_time = milliseconds(30);
constexpr auto report_interval = milliseconds(500);
constexpr auto run_length = seconds(40);
// The users' rule.
constexpr auto contact_time = seconds(3);
constexpr auto window = seconds(4);
constexpr double allowed_factor = 1.5;
constexpr double allowed_more = 5;

struct fleet_options {
    int gateways = 5;
    double rate_per_s = 4.8;
    /// Calls per second at all gateways together.
    double demand = 60;
    /// Share of them that come to the first gateway.
    double first_share = 0.2;
    double loss = 0;
    /// A gateway restarts every two seconds, one after the other.
    bool has_restarts = false;
    /// The gateway that issues the permits stands still from 15 to 20 s and from 28 to 33 s.
    bool is_issuer_frozen = false;
    /// The upstream names this rate from 20 s on; nothing if it is the same, 0 if it names none.
    std::optional<double> later_rate_per_s = std::nullopt;
    /// Part of the rate that must be used from the end of the grace period on.
    double smallest_use = 0.6;
    std::uint64_t seed = 1;
};

/// Gateways with their real decisions on permits, before one upstream that names a rate.
class permit_fleet {
public:
    explicit permit_fleet(const fleet_options& options) : options_(options), random_(options.seed)
    {
        for (int i = 0; i < options.gateways; ++i) {
            gateways_.push_back(std::make_unique<member>(address(i), start - seconds(10)));
            list_upstream(*gateways_.back(), start);
        }
    }

    // Returns what breaks the rule; empty if nothing does.
    std::string run()
    {
        for (now_ = start; now_ < start + run_length; now_ += step) {
            if ((now_ - start) % report_interval == duration{}) {
                exchange_reports();
            }
            if (options_.has_restarts && (now_ - start) % seconds(2) == duration{}) {
                const auto restarted = random_() % gateways_.size();
                gateways_[restarted] =
                    std::make_unique<member>(address(static_cast<int>(restarted)), now_);
                list_upstream(*gateways_[restarted], now_);
            }
            deliver();
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                tick(i);
            }
            arrive();
        }
        return verdict();
    }

private:
    struct member {
        member(const cli::endpoint& self, time_point started) : peers(self), permits(started) {}

        peer_directory peers;
        rate_permits permits;
        upstream_table upstreams;
        std::list<permit_wait> waits;
    };
    struct event {
        time_point due;
        std::size_t to = 0;
        std::size_t from = 0;
        std::optional<control::permit_request> request = std::nullopt;
        std::optional<control::permit_answer> answer = std::nullopt;
        /// A response that names a rate, or none.
        bool is_response = false;
        std::optional<double> rate = std::nullopt;
        time_point sent_at = {};
    };

    static cli::endpoint address(int number) { return {fmt::format("10.0.0.{}", number), 80}; }

    void list_upstream(member& gateway, time_point now)
    {
        gateway.upstreams.update(
            {upstream_, "desk", {"10.1.0.1", 80}, failure_domain_id("a"), 64, false}, now);
    }

    bool is_frozen(std::size_t number) const
    {
        const auto at = now_ - start;
        return options_.is_issuer_frozen && number == issuer_ &&
               ((at >= seconds(15) && at < seconds(20)) || (at >= seconds(28) && at < seconds(33)));
    }

    std::optional<double> named_rate() const
    {
        if (options_.later_rate_per_s && now_ >= start + seconds(20)) {
            return *options_.later_rate_per_s > 0 ? options_.later_rate_per_s : std::nullopt;
        }
        return options_.rate_per_s;
    }

    bool is_lost() { return std::bernoulli_distribution(options_.loss)(random_); }

    void exchange_reports()
    {
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            for (std::size_t j = 0; j < gateways_.size(); ++j) {
                if (!is_frozen(i) && !is_frozen(j) && !is_lost()) {
                    gateways_[j]->peers.on_seen(address(static_cast<int>(i)), now_);
                }
            }
        }
        for (const auto& gateway : gateways_) {
            gateway->peers.on_tick(now_);
            gateway->permits.on_tick(now_);
        }
        if (now_ == start + seconds(14)) {
            find_issuer();
        }
    }

    // The gateway that answers the first one.
    void find_issuer()
    {
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            auto& gateway = *gateways_[i];
            const auto asked =
                gateway.permits.ask({1, upstream_, 0, 1, false, {}}, gateway.peers, false, now_);
            if (std::holds_alternative<control::permit_answer>(asked)) {
                issuer_ = i;
            }
        }
    }

    void arrive()
    {
        const double mean = options_.demand * std::chrono::duration<double>(step).count();
        for (int i = std::poisson_distribution<int>(mean)(random_); i > 0; --i) {
            if (now_ >= start + seconds(25) && now_ < start + seconds(35)) {
                ++calls_after_end_;
            }
            const bool is_first = std::bernoulli_distribution(options_.first_share)(random_);
            const auto number = is_first ? 0 : random_() % gateways_.size();
            auto& gateway = *gateways_[number];
            const auto* state = gateway.upstreams.find(upstream_);
            if (is_frozen(number) || !upstream_table::is_open(*state, now_)) {
                continue;
            }
            if (!state->rate) {
                send(number);
                continue;
            }
            gateway.waits.emplace_back(++calls_, upstream_, now_);
            ask(number, calls_);
        }
    }

    void ask(std::size_t number, std::uint64_t call, bool has_ended = false)
    {
        auto& gateway = *gateways_[number];
        const auto* state = gateway.upstreams.find(upstream_);
        const double rate = state->rate ? state->rate->per_s : 1;
        const duration age = state->rate ? now_ - state->rate->named_at : duration{};
        const auto asked = gateway.permits.ask({call, upstream_, 0, rate, has_ended, age},
                                               gateway.peers, false, now_);
        if (const auto* question = std::get_if<permit_question>(&asked)) {
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                if (address(static_cast<int>(i)) == question->issuer && !is_lost()) {
                    event item{now_ + network_delay, i, number};
                    item.request = question->content;
                    events_.push_back(item);
                }
            }
            return;
        }
        on_answer(number, std::get<control::permit_answer>(asked));
    }

    void on_answer(std::size_t number, const control::permit_answer& answer)
    {
        auto& gateway = *gateways_[number];
        const auto waiting = std::ranges::find(gateway.waits, answer.call, &permit_wait::number);
        if (waiting == gateway.waits.end()) {
            return;
        }
        gateway.waits.erase(waiting);
        if (answer.has_ended) {
            gateway.upstreams.on_rate_named(upstream_, std::nullopt, now_, now_);
        }
        if (answer.is_granted) {
            send(number);
        }
        else {
            gateway.upstreams.on_overloaded(upstream_, answer.wait, now_);
        }
    }

    void send(std::size_t number)
    {
        arrivals_.push_back(now_);
        event item{now_ + response_time, number, number};
        item.is_response = true;
        item.rate = named_rate();
        item.sent_at = now_;
        events_.push_back(item);
    }

    void tick(std::size_t number)
    {
        auto& gateway = *gateways_[number];
        if (is_frozen(number)) {
            return;
        }
        std::vector<std::uint64_t> asking;
        for (auto& wait : gateway.waits) {
            const auto next = wait.on_tick(now_);
            if (next == permit_wait::step::give_up) {
                gateway.permits.on_silence(upstream_, gateway.peers, now_);
            }
            if (next != permit_wait::step::wait) {
                asking.push_back(wait.number());
            }
        }
        for (const auto call : asking) {
            ask(number, call);
        }
    }

    void deliver()
    {
        std::vector<event> due;
        std::erase_if(events_, [&](const auto& item) {
            const bool is_due = now_ >= item.due && !is_frozen(item.to);
            if (is_due) {
                due.push_back(item);
            }
            return is_due;
        });
        for (const auto& item : due) {
            auto& gateway = *gateways_[item.to];
            if (item.request) {
                event reply{now_ + network_delay, item.from, item.to};
                reply.answer =
                    gateway.permits.on_request(*item.request, gateway.peers, false, now_);
                if (!is_lost()) {
                    events_.push_back(reply);
                }
            }
            else if (item.answer) {
                on_answer(item.to, *item.answer);
            }
            else {
                const bool is_new =
                    gateway.upstreams.on_rate_named(upstream_, item.rate, item.sent_at, now_);
                if (is_new && !item.rate) {
                    ask(item.to, 0, true);
                }
            }
        }
    }

    std::string verdict() const
    {
        std::string broken;
        const auto in = [&](time_point from, duration length) {
            return static_cast<double>(std::ranges::count_if(
                arrivals_, [&](const auto at) { return at >= from && at < from + length; }));
        };
        const auto end = start + run_length;
        const auto change = options_.later_rate_per_s ? start + seconds(20) : end;
        const auto check = [&](time_point from, time_point to, double rate) {
            double most = 0;
            for (auto at = from; at + window <= to; at += step) {
                most = std::max(most, in(at, window));
            }
            const double allowed =
                allowed_factor * rate * std::chrono::duration<double>(window).count() +
                allowed_more;
            const double used =
                in(from, to - from) / (rate * std::chrono::duration<double>(to - from).count());
            if (most > allowed || used < options_.smallest_use) {
                broken +=
                    fmt::format("seed {}, rate {}: {} calls in 4 s, {} allowed; {:.2f} of the "
                                "rate used\n",
                                options_.seed, rate, most, allowed, used);
            }
        };
        check(start + contact_time, change, options_.rate_per_s);
        if (options_.later_rate_per_s && *options_.later_rate_per_s > 0) {
            check(change + contact_time, end, *options_.later_rate_per_s);
        }
        else if (options_.later_rate_per_s) {
            const double share = in(change + seconds(5), seconds(10)) / calls_after_end_;
            if (share < 0.9) {
                broken += fmt::format("seed {}: {:.2f} of the calls served after the limit ended\n",
                                      options_.seed, share);
            }
        }
        return broken;
    }

    fleet_options options_;
    std::mt19937_64 random_;
    upstream_id upstream_{"i-1"};
    time_point now_;
    std::vector<std::unique_ptr<member>> gateways_;
    std::size_t issuer_ = 0;
    std::vector<event> events_;
    std::vector<time_point> arrivals_;
    std::uint64_t calls_ = 0;
    /// From five seconds after a limit may have ended, for ten seconds.
    int calls_after_end_ = 0;
};

std::string check(fleet_options options, std::uint64_t seeds = 5)
{
    std::string broken;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        broken += permit_fleet(options).run();
    }
    return broken;
}

} // namespace

/// A rate that an upstream names holds for all gateways together and is used.
class gateway_rate_permits_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_rate_permits_fleet_test);
    CPPUNIT_TEST(small_fleet);
    CPPUNIT_TEST(larger_fleets);
    CPPUNIT_TEST(one_gateway_has_most_of_the_demand);
    CPPUNIT_TEST(messages_are_lost);
    CPPUNIT_TEST(gateways_restart);
    CPPUNIT_TEST(issuer_stands_still);
    CPPUNIT_TEST(rate_changes);
    CPPUNIT_TEST(rate_ends);
    CPPUNIT_TEST_SUITE_END();

public:
    void small_fleet()
    {
        for (const double rate : {0.5, 2.3, 4.8, 30.0}) {
            CPPUNIT_ASSERT_EQUAL(std::string(), check({.rate_per_s = rate}));
        }
    }

    void larger_fleets()
    {
        for (const int gateways : {26, 68}) {
            for (const double rate : {2.3, 30.0}) {
                CPPUNIT_ASSERT_EQUAL(
                    std::string(),
                    check({.gateways = gateways, .rate_per_s = rate, .demand = 300}, 2));
            }
        }
    }

    void one_gateway_has_most_of_the_demand()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.gateways = 26, .first_share = 0.95}));
    }

    void messages_are_lost()
    {
        for (const int gateways : {5, 26, 68}) {
            CPPUNIT_ASSERT_EQUAL(
                std::string(), check({.gateways = gateways, .loss = 0.1, .smallest_use = 0.4}, 2));
        }
    }

    // A restarted gateway does not know the rate until its first response.
    void gateways_restart()
    {
        for (const int gateways : {5, 26, 68}) {
            CPPUNIT_ASSERT_EQUAL(
                std::string(),
                check({.gateways = gateways, .has_restarts = true, .smallest_use = 0.4}, 2));
        }
    }

    void issuer_stands_still()
    {
        for (const int gateways : {5, 26, 68}) {
            CPPUNIT_ASSERT_EQUAL(
                std::string(),
                check({.gateways = gateways, .is_issuer_frozen = true, .smallest_use = 0.4}, 2));
        }
    }

    void rate_changes()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.rate_per_s = 20, .later_rate_per_s = 2.9}));
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.rate_per_s = 2.9, .later_rate_per_s = 20}));
    }

    void rate_ends()
    {
        for (const int gateways : {5, 26, 68}) {
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 check({.gateways = gateways, .later_rate_per_s = 0}, 2));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_rate_permits_fleet_test);

} // namespace snipespar::gateway
