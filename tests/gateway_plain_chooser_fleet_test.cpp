#include "support/shared_fleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>

namespace snipespar::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using policy = shared_fleet::policy;

constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t last_seed = 6;

shared_fleet::load_pattern pattern_of(int gateways, std::size_t upstreams)
{
    shared_fleet::load_pattern pattern;
    pattern.gateways = gateways;
    pattern.upstreams.resize(upstreams);
    if (upstreams == 7) {
        pattern.calls_per_s = 281;
        pattern.work_s = 0.06;
        pattern.aim = milliseconds(300);
        pattern.limit = milliseconds(1500);
    }
    return pattern;
}

shared_fleet::result run(const shared_fleet::load_pattern& pattern, policy chosen)
{
    shared_fleet::result sum;
    sum.sent.resize(pattern.upstreams.size());
    for (auto seed = first_seed; seed <= last_seed; ++seed) {
        const auto one = shared_fleet(pattern, chosen, seed).run();
        sum.calls += one.calls;
        sum.on_time += one.on_time;
        sum.late += one.late;
        sum.refused += one.refused;
        sum.failed += one.failed;
        sum.refused_with_free_slots += one.refused_with_free_slots;
        for (std::size_t i = 0; i < sum.sent.size(); ++i) {
            sum.sent[i] += one.sent[i];
        }
    }
    return sum;
}

std::string text_of(const shared_fleet::result& result)
{
    return fmt::format("on time {:.4f} late {:.4f} refused {:.4f} failed {:.4f}",
                       result.share(result.on_time), result.share(result.late),
                       result.share(result.refused), result.share(result.failed));
}

// Share of the calls that are not answered in time.
double missed(const shared_fleet::result& result)
{
    return 1 - result.share(result.on_time);
}

} // namespace

// Load pattern: 5 to 300 gateways share 3 or 7 upstreams of 6 slots whose speeds change several
// times a second; heavy-tailed work in clumps, at two thirds of what the upstreams can do, and
// bursts beyond it.
class gateway_plain_chooser_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_plain_chooser_fleet_test);
    CPPUNIT_TEST(fewer_calls_miss_their_aim_than_by_own_calls_or_at_random);
    CPPUNIT_TEST(overload_keeps_most_calls_in_time);
    CPPUNIT_TEST(burst_keeps_more_calls_in_time_and_refuses_no_more);
    CPPUNIT_TEST(upstreams_that_slow_down_deeply);
    CPPUNIT_TEST(crashed_upstream_loses_few_calls);
    CPPUNIT_TEST(upstream_that_states_nonsense_stops_no_other);
    CPPUNIT_TEST(grey_upstream_gets_little_work);
    CPPUNIT_TEST_SUITE_END();

public:
    void fewer_calls_miss_their_aim_than_by_own_calls_or_at_random()
    {
        for (const int gateways : {5, 32, 300}) {
            for (const std::size_t upstreams : {3, 7}) {
                const auto pattern = pattern_of(gateways, upstreams);
                const auto before = run(pattern, policy::own_calls);
                const auto random = run(pattern, policy::random);
                const auto now = run(pattern, policy::forecast);
                const auto message = fmt::format(
                    "{} gateways, {} upstreams: forecast {}; own calls {}; random {}", gateways,
                    upstreams, text_of(now), text_of(before), text_of(random));
                // Of 300 gateways each sees about one call a second: there is little to know.
                const bool sees_little = gateways == 300;
                CPPUNIT_ASSERT_MESSAGE(message,
                                       sees_little || missed(now) <= missed(before) + 0.005);
                CPPUNIT_ASSERT_MESSAGE(message, missed(now) <= missed(random) + 0.005);
                CPPUNIT_ASSERT_MESSAGE(message, now.share(now.refused + now.failed) < 0.01);
                // The figures of 300 gateways are a second old when they are replaced.
                CPPUNIT_ASSERT_MESSAGE(message, now.share(now.refused_with_free_slots) <
                                                    (sees_little ? 0.005 : 0.002));
            }
        }
    }

    // Guards against queues that stand at their limit, in which every call is late.
    void overload_keeps_most_calls_in_time()
    {
        auto pattern = pattern_of(32, 3);
        pattern.calls_per_s = 460;
        const auto before = run(pattern, policy::own_calls);
        const auto now = run(pattern, policy::forecast);
        const auto message = text_of(now) + "; own calls " + text_of(before);
        CPPUNIT_ASSERT_MESSAGE(message, missed(now) < 0.6 * missed(before));
        CPPUNIT_ASSERT_MESSAGE(message, now.share(now.refused + now.failed) <
                                            before.share(before.refused + before.failed) + 0.03);
    }

    // Guards against bursts after which all calls wait until they are late.
    void burst_keeps_more_calls_in_time_and_refuses_no_more()
    {
        auto pattern = pattern_of(32, 3);
        pattern.burst = 1.7;
        pattern.burst_from = time_point(seconds(110));
        pattern.burst_until = time_point(seconds(114));
        const auto before = run(pattern, policy::own_calls);
        const auto now = run(pattern, policy::forecast);
        const auto message = text_of(now) + "; own calls " + text_of(before);
        CPPUNIT_ASSERT_MESSAGE(message, missed(now) < 0.85 * missed(before));
        CPPUNIT_ASSERT_MESSAGE(message, now.share(now.refused + now.failed) <
                                            before.share(before.refused + before.failed) + 0.01);
    }

    void upstreams_that_slow_down_deeply()
    {
        auto pattern = pattern_of(32, 3);
        pattern.max_slowdown = 4;
        const auto before = run(pattern, policy::own_calls);
        const auto now = run(pattern, policy::forecast);
        const auto message = text_of(now) + "; own calls " + text_of(before);
        CPPUNIT_ASSERT_MESSAGE(message, missed(now) < 0.9 * missed(before));
    }

    void crashed_upstream_loses_few_calls()
    {
        auto pattern = pattern_of(32, 7);
        pattern.upstreams[2].down_from = time_point(seconds(110));
        pattern.upstreams[2].down_until = time_point(seconds(115));
        const auto before = run(pattern, policy::own_calls);
        const auto now = run(pattern, policy::forecast);
        const auto message = text_of(now) + "; own calls " + text_of(before);
        CPPUNIT_ASSERT_MESSAGE(message, missed(now) <= missed(before) + 0.005);
        CPPUNIT_ASSERT_MESSAGE(message, now.share(now.failed) < 0.002);
    }

    void upstream_that_states_nonsense_stops_no_other()
    {
        auto pattern = pattern_of(32, 7);
        pattern.upstreams[2].false_load = gateway::stated_load{1'000'000, 1'000'000, 1, 100};
        const auto now = run(pattern, policy::forecast);
        CPPUNIT_ASSERT_MESSAGE(text_of(now), missed(now) < 0.03);
        CPPUNIT_ASSERT_MESSAGE(text_of(now), now.share(now.refused + now.failed) < 0.002);
    }

    void grey_upstream_gets_little_work()
    {
        auto pattern = pattern_of(32, 7);
        // Seven times as slow, and always idle by its own account.
        pattern.upstreams[2].hidden_slowdown = 7;
        pattern.upstreams[2].false_load = gateway::stated_load{1, 0, 6, 1};
        const auto before = run(pattern, policy::own_calls);
        const auto now = run(pattern, policy::forecast);
        const auto message = text_of(now) + "; own calls " + text_of(before);
        CPPUNIT_ASSERT_MESSAGE(message, missed(now) < missed(before));
        CPPUNIT_ASSERT_MESSAGE(message, now.share(now.sent[2]) < 0.05);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_plain_chooser_fleet_test);

} // namespace snipespar::testing
