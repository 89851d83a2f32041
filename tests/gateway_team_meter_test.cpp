#include "gateway/team_meter.h"

#include "control/gateway_usage.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
const team_id shops("shops");

fleet_config::parts limits(double rate, double burst)
{
    return {1, {}, {}, {{shops, {"k"}, 0, 1, rate, burst}}, {}};
}

// A meter that has run for long enough to have the whole burst.
std::unique_ptr<team_meter> make_meter(std::uint64_t start_number, double rate, double burst)
{
    auto meter = std::make_unique<team_meter>(start_number);
    meter->set_limits(fleet_config(limits(rate, burst)), start - seconds(10));
    return meter;
}

control::gateway_usage usage(const std::string& gateway, std::uint64_t start_number,
                             std::uint64_t sequence, std::uint64_t tokens)
{
    return {gateway, start_number, sequence, 1, false, {{shops.str(), tokens}}, {}};
}

// Several gateways that report their use to each other every 250 ms over a lossy network.
class meter_fleet {
public:
    meter_fleet(int count, double rate, double burst, double loss)
        : loss_(loss), totals_sent_(static_cast<std::size_t>(count))
    {
        for (int i = 0; i < count; ++i) {
            meters_.push_back(make_meter(100 + static_cast<std::uint64_t>(i), rate, burst));
        }
    }

    // Every gateway requests `tokens` every 10 ms; returns the tokens granted per step.
    std::vector<double> run(seconds length, std::uint64_t tokens)
    {
        std::vector<double> granted;
        for (duration passed{}; passed < length; passed += milliseconds(10)) {
            const auto now = start + passed;
            double sum = 0;
            for (auto& meter : meters_) {
                if (!meter->admit(shops, tokens, now)) {
                    sum += static_cast<double>(tokens);
                }
            }
            granted.push_back(sum);
            if (passed.count() % duration(milliseconds(250)).count() == 0) {
                exchange(now);
            }
        }
        return granted;
    }

private:
    void exchange(time_point now)
    {
        ++sequence_;
        std::bernoulli_distribution is_lost(loss_);
        for (std::size_t from = 0; from < meters_.size(); ++from) {
            meters_[from]->on_tick(now);
            const auto& admitted = meters_[from]->admitted();
            const auto total = admitted.empty() ? 0 : admitted.at(shops.str());
            for (std::size_t to = 0; to < meters_.size(); ++to) {
                if (to != from && !is_lost(random_)) {
                    meters_[to]->on_usage(
                        usage("g" + std::to_string(from), 100 + from, sequence_, total), now);
                }
            }
        }
    }

    double loss_;
    std::vector<std::unique_ptr<team_meter>> meters_;
    std::vector<std::uint64_t> totals_sent_;
    std::uint64_t sequence_ = 0;
    std::mt19937_64 random_{7};
};

double largest_window(const std::vector<double>& granted, std::size_t steps)
{
    double sum = 0;
    double largest = 0;
    for (std::size_t i = 0; i < granted.size(); ++i) {
        sum += granted[i] - (i >= steps ? granted[i - steps] : 0);
        largest = std::max(largest, sum);
    }
    return largest;
}

} // namespace

class gateway_team_meter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_team_meter_test);
    CPPUNIT_TEST(refusal_states_when_tokens_are_available);
    CPPUNIT_TEST(hot_team_stays_within_its_rate_over_all_gateways);
    CPPUNIT_TEST(hot_team_gets_its_whole_rate);
    CPPUNIT_TEST(duplicate_and_late_reports_are_charged_once);
    CPPUNIT_TEST(totals_from_before_the_start_are_not_charged);
    CPPUNIT_TEST(restarted_peer_is_charged_from_zero);
    CPPUNIT_TEST(limit_is_shared_with_an_unresponsive_peer);
    CPPUNIT_TEST(peer_heard_again_is_charged_with_what_it_used);
    CPPUNIT_TEST(peer_that_stopped_leaves_its_share);
    CPPUNIT_TEST(quiet_team_of_a_cut_gateway_keeps_its_share_of_the_burst);
    CPPUNIT_TEST(large_call_of_a_busy_team_is_not_starved);
    CPPUNIT_TEST(lowered_limit_applies_immediately);
    CPPUNIT_TEST(team_without_limit_is_never_refused);
    CPPUNIT_TEST(refused_call_gives_its_tokens_back);
    CPPUNIT_TEST(refund_is_reported_to_other_gateways);
    CPPUNIT_TEST(team_missing_in_a_partial_report_keeps_its_total);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusal_states_when_tokens_are_available()
    {
        const auto meter = make_meter(1, 1000, 1000);
        CPPUNIT_ASSERT(!meter->admit(shops, 1500, start));
        const auto wait = meter->admit(shops, 100, start);
        CPPUNIT_ASSERT(wait.has_value());
        CPPUNIT_ASSERT(meter->admit(shops, 100, start + *wait - milliseconds(5)).has_value());
        CPPUNIT_ASSERT(!meter->admit(shops, 100, start + *wait + milliseconds(1)));
    }

    // One team sends many times its rate through five gateways; a fifth of the reports is lost.
    // The bound is 110% of the limit plus 110,000 tokens in a window of 8 s.
    void hot_team_stays_within_its_rate_over_all_gateways()
    {
        constexpr double rate = 100'000;
        meter_fleet fleet(5, rate, rate, 0.2);
        const auto granted = fleet.run(seconds(30), 700);
        const double bound = (rate * 8 + rate) * 1.1 + 110'000;
        CPPUNIT_ASSERT(largest_window(granted, 800) <= bound);
    }

    void hot_team_gets_its_whole_rate()
    {
        constexpr double rate = 100'000;
        meter_fleet fleet(5, rate, rate, 0);
        double sum = 0;
        for (const auto step : fleet.run(seconds(30), 700)) {
            sum += step;
        }
        CPPUNIT_ASSERT(sum >= 0.95 * rate * 30);
    }

    void duplicate_and_late_reports_are_charged_once()
    {
        const auto meter = make_meter(1, 1000, 1000);
        meter->on_usage(usage("peer", 2, 2, 600), start);
        meter->on_usage(usage("peer", 2, 2, 600), start);
        meter->on_usage(usage("peer", 2, 1, 300), start);
        CPPUNIT_ASSERT(!meter->admit(shops, 400, start));
        const auto wait = meter->admit(shops, 1, start);
        CPPUNIT_ASSERT(wait && *wait < milliseconds(1));
    }

    void totals_from_before_the_start_are_not_charged()
    {
        const auto meter = make_meter(5, 1000, 1000);
        meter->on_usage(usage("peer", 2, 9, 900'000), start);
        CPPUNIT_ASSERT(!meter->admit(shops, 1000, start));
    }

    void restarted_peer_is_charged_from_zero()
    {
        const auto meter = make_meter(1, 1000, 1000);
        meter->on_usage(usage("peer", 2, 9, 500), start);
        meter->on_usage(usage("peer", 3, 1, 500), start);
        CPPUNIT_ASSERT(meter->admit(shops, 1, start).has_value());
    }

    // The limits of a peer that may be serving behind a cut.
    void limit_is_shared_with_an_unresponsive_peer()
    {
        const auto meter = make_meter(1, 1000, 1000);
        auto now = start;
        for (std::uint64_t i = 1; i <= 40; ++i) {
            now += milliseconds(250);
            meter->on_usage(usage("peer", 2, i, i * 225), now);
        }
        const auto noticed = now + seconds(1);
        const auto end = noticed + seconds(60);
        double granted_unnoticed = 0;
        double granted = 0;
        for (; now < end; now += milliseconds(50)) {
            meter->on_tick(now);
            (now < noticed ? granted_unnoticed : granted) += meter->admit(shops, 50, now) ? 0 : 50;
        }
        // The burst and the rate of the time in which nothing is noticed.
        CPPUNIT_ASSERT(granted_unnoticed <= 1000 + 1000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(60 * 500, granted, 1000);
        CPPUNIT_ASSERT_EQUAL(0.5, meter->share());
    }

    // What a peer was assumed to use is replaced by what it reports.
    void peer_heard_again_is_charged_with_what_it_used()
    {
        const auto meter = make_meter(1, 1000, 1000);
        meter->on_usage(usage("peer", 2, 1, 0), start);
        const auto now = start + seconds(10);
        meter->on_tick(now);
        CPPUNIT_ASSERT(!meter->admit(shops, 400, now));
        // Half of the rate in ten seconds, and 300 tokens.
        meter->on_usage(usage("peer", 2, 2, 5300), now);
        CPPUNIT_ASSERT_EQUAL(1.0, meter->share());
        CPPUNIT_ASSERT(meter->admit(shops, 1, now));
        CPPUNIT_ASSERT(!meter->admit(shops, 1, now + milliseconds(201)));
    }

    void peer_that_stopped_leaves_its_share()
    {
        const auto meter = make_meter(1, 1000, 1000);
        meter->on_usage(usage("peer", 2, 1, 0), start);
        auto farewell = usage("peer", 2, 2, 0);
        farewell.is_stopping = true;
        meter->on_usage(farewell, start);
        meter->on_tick(start + seconds(5));
        CPPUNIT_ASSERT_EQUAL(1.0, meter->share());
        CPPUNIT_ASSERT(!meter->admit(shops, 1000, start + seconds(5)));
    }

    // A cut is no reason to refuse a team that has used nothing.
    void quiet_team_of_a_cut_gateway_keeps_its_share_of_the_burst()
    {
        const auto meter = make_meter(1, 1000, 1000);
        for (std::uint64_t i = 0; i < 4; ++i) {
            meter->on_usage(usage("peer" + std::to_string(i), 2, 1, 0), start);
        }
        const auto now = start + seconds(1);
        meter->on_tick(now);
        CPPUNIT_ASSERT(!meter->admit(shops, 199, now));
        CPPUNIT_ASSERT(!meter->admit(shops, 1, now));
        CPPUNIT_ASSERT(meter->admit(shops, 1, now));
    }

    void large_call_of_a_busy_team_is_not_starved()
    {
        const auto meter = make_meter(1, 10'000, 10'000);
        // Twice the tokens that the rate allows, a third of them in calls sixty times as large.
        std::mt19937_64 random(3);
        std::exponential_distribution<double> pause(100);
        std::bernoulli_distribution is_large(1.0 / 120);
        int requested[2] = {};
        int granted[2] = {};
        auto now = start;
        for (int i = 0; i < 40'000; ++i) {
            now += duration(static_cast<duration::rep>(pause(random) * 1e6));
            const bool large = is_large(random);
            ++requested[large];
            granted[large] += meter->admit(shops, large ? 9000 : 150, now) ? 0 : 1;
        }
        const double small_share = static_cast<double>(granted[0]) / requested[0];
        const double large_share = static_cast<double>(granted[1]) / requested[1];
        CPPUNIT_ASSERT(large_share >= small_share / 2);
    }

    void lowered_limit_applies_immediately()
    {
        const auto meter = make_meter(1, 100'000, 100'000);
        meter->set_limits(fleet_config(limits(100, 100)), start);
        CPPUNIT_ASSERT(!meter->admit(shops, 100, start));
        CPPUNIT_ASSERT(meter->admit(shops, 1, start).has_value());
    }

    void team_without_limit_is_never_refused()
    {
        const auto meter = make_meter(1, 0, 0);
        CPPUNIT_ASSERT(!meter->admit(shops, 1'000'000'000, start));
        CPPUNIT_ASSERT(!meter->admit(team_id("unknown"), 1, start));
    }

    // A call that no upstream could run must not use up the rate of its team.
    void refused_call_gives_its_tokens_back()
    {
        const auto meter = make_meter(1, 1000, 1000);
        CPPUNIT_ASSERT(!meter->admit(shops, 1500, start));
        CPPUNIT_ASSERT(meter->admit(shops, 100, start));
        meter->refund(shops, 1500, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, meter->admitted().at(shops.str()));
        CPPUNIT_ASSERT(!meter->admit(shops, 1000, start));
        CPPUNIT_ASSERT(meter->admit(shops, 1, start));
    }

    void refund_is_reported_to_other_gateways()
    {
        const auto meter = make_meter(1, 1000, 1000);
        meter->on_usage(usage("peer", 2, 1, 1500), start);
        CPPUNIT_ASSERT(meter->admit(shops, 1, start));
        meter->on_usage(usage("peer", 2, 2, 500), start);
        CPPUNIT_ASSERT(!meter->admit(shops, 400, start));
        // A refund never lifts a team above its burst.
        meter->on_usage(usage("peer", 2, 3, 0), start + seconds(2));
        CPPUNIT_ASSERT(!meter->admit(shops, 1000, start + seconds(2)));
        CPPUNIT_ASSERT(meter->admit(shops, 1, start + seconds(2)));
    }

    void team_missing_in_a_partial_report_keeps_its_total()
    {
        const auto meter = make_meter(5, 1000, 1000);
        auto report = usage("peer", 2, 1, 900'000);
        meter->on_usage(report, start);
        report = {"peer", 2, 2, 1, false, {}, {}, false};
        meter->on_usage(report, start);
        report = usage("peer", 2, 3, 900'600);
        report.is_complete = false;
        meter->on_usage(report, start);
        CPPUNIT_ASSERT(!meter->admit(shops, 400, start));
        CPPUNIT_ASSERT(meter->admit(shops, 1, start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_team_meter_test);

} // namespace snipespar::gateway
