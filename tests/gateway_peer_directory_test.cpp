#include "gateway/peer_directory.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
const std::string sidecar = "10.2.0.1";
const std::string other_sidecar = "10.2.0.2";

cli::endpoint gateway_at(std::size_t number)
{
    return {fmt::format("10.1.{}.{}", number / 250, number % 250), 8283};
}

// Returns how many of so many gateways, from the first on, were refused.
std::size_t name_all(peer_directory& peers, const std::string& by, std::size_t first,
                     std::size_t count, time_point now)
{
    std::size_t refused = 0;
    for (std::size_t i = first; i < first + count; ++i) {
        refused += peers.on_named(gateway_at(i), by, now) ? 0 : 1;
    }
    return refused;
}

} // namespace

class gateway_peer_directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_peer_directory_test);
    CPPUNIT_TEST(invented_gateways_of_one_sidecar_change_no_share);
    CPPUNIT_TEST(sidecars_that_invent_gateways_do_not_hide_sound_ones);
    CPPUNIT_TEST(new_gateway_is_contacted_and_counts_once_it_is_confirmed);
    CPPUNIT_TEST(heard_gateway_is_renewed_by_one_sidecar);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one sidecar report that divides all budgets by thousands.
    void invented_gateways_of_one_sidecar_change_no_share()
    {
        peer_directory peers(gateway_at(0));
        peers.on_seen(gateway_at(1), start);
        const auto membership = peers.membership();
        const auto first = peers.first_for(7);
        constexpr std::size_t invented = 5000;
        for (int report = 0; report < 20; ++report) {
            const auto now = start + report * milliseconds(100);
            const auto refused = name_all(peers, sidecar, 2, invented, now);
            CPPUNIT_ASSERT_EQUAL(invented - peer_directory::max_unheard_by_sidecar, refused);
        }
        CPPUNIT_ASSERT_EQUAL(2, peers.count());
        CPPUNIT_ASSERT_EQUAL(membership, peers.membership());
        CPPUNIT_ASSERT(peers.first_for(7) == first);
        CPPUNIT_ASSERT_EQUAL(1 + peer_directory::max_unheard_by_sidecar, peers.contacts().size());
        peers.on_tick(start + seconds(8));
        CPPUNIT_ASSERT(peers.contacts().empty());
    }

    // Guards against many names that leave no room, or that several sidecars confirm without end.
    void sidecars_that_invent_gateways_do_not_hide_sound_ones()
    {
        peer_directory peers(gateway_at(0));
        constexpr std::size_t invented = 5000;
        for (int i = 0; i < 40; ++i) {
            name_all(peers, fmt::format("10.3.0.{}", i), 100, invented, start);
            name_all(peers, fmt::format("10.3.0.{}", i), 100 + i * invented, invented, start);
        }
        CPPUNIT_ASSERT(peers.contacts().size() <= peer_directory::max_unheard);
        CPPUNIT_ASSERT(peers.count() <= static_cast<int>(peer_directory::max_unheard) + 1);
        const auto before = peers.count();
        peers.on_seen(gateway_at(1), start);
        CPPUNIT_ASSERT_EQUAL(before + 1, peers.count());
    }

    void new_gateway_is_contacted_and_counts_once_it_is_confirmed()
    {
        peer_directory peers(gateway_at(0));
        CPPUNIT_ASSERT(peers.on_named(gateway_at(0), sidecar, start));
        CPPUNIT_ASSERT(peers.contacts().empty());
        for (const std::size_t number : {1UL, 2UL}) {
            CPPUNIT_ASSERT(peers.on_named(gateway_at(number), sidecar, start));
            CPPUNIT_ASSERT(peers.on_named(gateway_at(number), sidecar, start));
        }
        CPPUNIT_ASSERT_EQUAL(1, peers.count());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peers.contacts().size());
        peers.on_seen(gateway_at(1), start);
        CPPUNIT_ASSERT_EQUAL(2, peers.count());
        CPPUNIT_ASSERT(peers.on_named(gateway_at(2), other_sidecar, start));
        CPPUNIT_ASSERT_EQUAL(3, peers.count());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peers.contacts().size());
    }

    void heard_gateway_is_renewed_by_one_sidecar()
    {
        peer_directory peers(gateway_at(0));
        peers.on_seen(gateway_at(1), start);
        for (int i = 1; i <= 10; ++i) {
            CPPUNIT_ASSERT(peers.on_named(gateway_at(1), sidecar, start + i * seconds(2)));
            peers.on_tick(start + i * seconds(2));
            CPPUNIT_ASSERT_EQUAL(2, peers.count());
        }
        peers.on_stopping(gateway_at(1));
        CPPUNIT_ASSERT_EQUAL(1, peers.count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_peer_directory_test);

} // namespace snipespar::gateway
