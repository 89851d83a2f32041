#include "limits/limit_node.h"
#include "support/limit_fleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::limits {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const limit_id team("team/krlp");
const limit_id loads("weight-store/loads-per-second");
const limit_id concurrent_loads("weight-store/loads-at-once");

limit_spec team_spec()
{
    return {team, limit_form::rate, 1000 * micro_per_token, 2000 * micro_per_token};
}

std::vector<limit_spec> all_specs()
{
    return {team_spec(),
            {loads, limit_form::rate, 2'600'000, 2 * micro_per_token},
            {concurrent_loads, limit_form::concurrency, 0, 2 * micro_per_token}};
}

} // namespace

class limits_node_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limits_node_test);
    CPPUNIT_TEST(one_entry_gets_the_whole_limit);
    CPPUNIT_TEST(demand_within_the_rate_is_never_refused);
    CPPUNIT_TEST(small_limits_are_fully_usable);
    CPPUNIT_TEST(flood_is_bounded_and_gets_the_rate);
    CPPUNIT_TEST(new_owner_waits_for_what_others_hold);
    CPPUNIT_TEST(slot_that_is_handed_over_is_taken_into_use_without_a_request);
    CPPUNIT_TEST_SUITE_END();

public:
    // The whole burst is in three slots with three owners; a fourth host gets it immediately.
    void one_entry_gets_the_whole_limit()
    {
        limit_fleet fleet(6, {team_spec()}, 1);
        fleet.run(seconds(10));
        for (std::size_t host = 0; host < fleet.hosts(); ++host) {
            fleet.admit(host, team, 2000 * micro_per_token, milliseconds(100));
            fleet.run(seconds(4));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{host + 1}, fleet.granted_count);
        }
        CPPUNIT_ASSERT(fleet.excess() <= 0);
    }

    void demand_within_the_rate_is_never_refused()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            limit_fleet fleet(9, {team_spec()}, seed);
            fleet.run(seconds(10));
            for (int i = 0; i < 2000; ++i) {
                const std::size_t host = seed == 1 ? 4 : fleet.random(fleet.hosts());
                fleet.admit(host, team, 95 * micro_per_token / 10, milliseconds(200));
                fleet.run(milliseconds(10));
            }
            fleet.run(seconds(1));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, fleet.granted_count);
            CPPUNIT_ASSERT(fleet.excess() <= 0);
        }
    }

    void small_limits_are_fully_usable()
    {
        limit_fleet fleet(4, all_specs(), 7);
        fleet.run(seconds(10));
        for (int i = 0; i < 100; ++i) {
            fleet.admit(fleet.random(4), loads, micro_per_token, milliseconds(1));
            fleet.admit(fleet.random(4), concurrent_loads, micro_per_token, milliseconds(600));
            fleet.run(milliseconds(400));
        }
        fleet.run(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, fleet.granted_count);
        CPPUNIT_ASSERT(fleet.excess() <= 0);
    }

    void flood_is_bounded_and_gets_the_rate()
    {
        limit_fleet fleet(6, {team_spec()}, 3);
        fleet.run(seconds(10));
        for (int i = 0; i < 2000; ++i) {
            fleet.admit(fleet.random(6), team, 50 * micro_per_token, milliseconds(50));
            fleet.run(milliseconds(10));
        }
        fleet.run(seconds(1));
        CPPUNIT_ASSERT(fleet.excess() <= 0);
        const auto total = fleet.oracle(team).total() / micro_per_token;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(total), total >= 20'000 * 9 / 10);
        for (const auto& wait : fleet.retry_after) {
            CPPUNIT_ASSERT(wait > milliseconds(0) && wait <= milliseconds(51));
        }
    }

    // One host holds the whole burst for a long answer while all other owners crash and are
    // replaced.
    void new_owner_waits_for_what_others_hold()
    {
        for (std::size_t holder = 0; holder < 8; ++holder) {
            limit_fleet fleet(8, {team_spec()}, 5);
            fleet.run(seconds(10));
            fleet.admit(holder, team, 2000 * micro_per_token, seconds(80));
            fleet.run(seconds(1));
            for (std::size_t host = 0; host < fleet.hosts(); ++host) {
                const bool owner = fleet.node(host)->report().front().slots_owned > 0;
                if (owner && host != holder) {
                    fleet.crash(host);
                }
            }
            fleet.run(milliseconds(18'990));
            for (int i = 0; i < 20; ++i) {
                fleet.admit(fleet.random(8), team, 190 * micro_per_token, milliseconds(8));
                fleet.run(milliseconds(2));
            }
            CPPUNIT_ASSERT(fleet.excess() <= 0);
        }
    }

    // Guards against a new owner that does not hear of its slot until it is asked for credit, which
    // an outage of the platform makes impossible.
    void slot_that_is_handed_over_is_taken_into_use_without_a_request()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            limit_fleet fleet(2, {team_spec()}, seed);
            fleet.crash(1);
            fleet.run(seconds(15));
            CPPUNIT_ASSERT_EQUAL(slot_count, fleet.node(0)->report().front().slots_owned);
            fleet.start(1);
            fleet.run(seconds(30));
            const auto first = fleet.node(0)->report().front().slots_owned;
            const auto second = fleet.node(1)->report().front().slots_owned;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(first) + " and " + std::to_string(second),
                                   second > 0 && first + second == slot_count);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_node_test);

} // namespace snipespar::limits
