#include "base/stable_hash.h"
#include "gateway/peer_directory.h"
#include "sidecar/gateway_roster.h"

#include <algorithm>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdint>
#include <fmt/format.h>
#include <random>
#include <vector>

namespace snipespar::testing {

using sidecar::gateway_roster;

namespace {

constexpr auto list_interval = std::chrono::milliseconds(1800);

cli::endpoint gateway_at(std::size_t number)
{
    return {fmt::format("10.1.{}.{}", number / 250, number % 250), 8283};
}

/// Real rosters of all sidecars and the real directory of one gateway that hears only them.
struct roster_fleet {
    roster_fleet(std::size_t gateway_count, std::size_t sidecar_count) : directory(gateway_at(0))
    {
        for (std::size_t i = 0; i < gateway_count; ++i) {
            known.push_back(gateway_at(i));
        }
        std::ranges::sort(known);
        for (std::size_t i = 0; i < sidecar_count; ++i) {
            rosters.emplace_back(stable_hash(fmt::format("10.2.0.{}:8000", i)));
        }
    }

    /// One list of each sidecar but for the first `frozen` ones; a tenth of them are lost.
    void run_round(std::size_t frozen = 0)
    {
        now += list_interval;
        for (std::size_t i = frozen; i < rosters.size(); ++i) {
            const auto named = rosters[i].next(known);
            received += named.size();
            if (random() % 10 != 0) {
                for (const auto& gateway : named) {
                    CPPUNIT_ASSERT(directory.on_named(gateway, fmt::format("10.2.0.{}", i), now));
                }
            }
        }
        directory.on_tick(now);
    }

    std::vector<gateway_roster> rosters;
    gateway::peer_directory directory;
    std::vector<cli::endpoint> known;
    std::mt19937 random{7};
    time_point now;
    std::size_t received = 0;
};

} // namespace

/// Load pattern: hundreds of hosts, whose membership travels in the sidecars' reports.
class sidecar_gateway_roster_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_gateway_roster_fleet_test);
    CPPUNIT_TEST(lists_do_not_grow_with_the_square_of_the_fleet);
    CPPUNIT_TEST(small_fleets_get_whole_lists);
    CPPUNIT_TEST(new_gateway_is_named_first);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sidecars that name every gateway to every gateway: 190 kB/s at 300 hosts.
    void lists_do_not_grow_with_the_square_of_the_fleet()
    {
        constexpr auto most = gateway_roster::whole_list_gateways;
        for (const std::size_t size : {100UL, 150UL, 300UL}) {
            roster_fleet fleet(size, size);
            for (int round = 0; round < 20; ++round) {
                const auto before = fleet.received;
                // From the tenth round on half of the sidecars are frozen.
                fleet.run_round(round < 10 ? 0 : size / 2);
                CPPUNIT_ASSERT(fleet.received - before <= most * most);
                CPPUNIT_ASSERT_EQUAL(static_cast<int>(size), fleet.directory.count());
            }
        }
    }

    void small_fleets_get_whole_lists()
    {
        roster_fleet fleet(gateway_roster::whole_list_gateways, 1);
        CPPUNIT_ASSERT(fleet.rosters.front().next(fleet.known) == fleet.known);
        CPPUNIT_ASSERT(fleet.rosters.front().next(fleet.known) == fleet.known);
    }

    void new_gateway_is_named_first()
    {
        roster_fleet fleet(300, 1);
        auto& roster = fleet.rosters.front();
        const auto last = fleet.known.back();
        roster.on_new(last);
        // One that is no longer known is not named.
        roster.on_new(gateway_at(400));
        auto named = roster.next(fleet.known);
        CPPUNIT_ASSERT(named.front() == last);
        CPPUNIT_ASSERT_EQUAL(gateway_roster::part_of(300), named.size());
        std::ranges::sort(named);
        CPPUNIT_ASSERT(std::ranges::adjacent_find(named) == named.end());
        CPPUNIT_ASSERT(!std::ranges::binary_search(named, gateway_at(400)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_gateway_roster_fleet_test);

} // namespace snipespar::testing
