#include "gateway/new_peers.h"

#include "gateway/peer_directory.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace snipespar::gateway {

namespace {

using std::chrono::seconds;

constexpr time_point start{seconds(50)};
constexpr int gateways = 26;

cli::endpoint address(int number)
{
    return {fmt::format("10.0.0.{}", number), 7600};
}

// What gateway `self` of the fleet knows of the others.
peer_directory directory(int self)
{
    peer_directory peers(address(self));
    for (int i = 0; i < gateways; ++i) {
        peers.on_seen(address(i), start);
    }
    return peers;
}

} // namespace

class gateway_new_peers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_new_peers_test);
    CPPUNIT_TEST(few_gateways_tell_a_new_one_several_times);
    CPPUNIT_TEST(ranking_is_made_once_for_each_start);
    CPPUNIT_TEST(gateway_that_is_back_is_told_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void few_gateways_tell_a_new_one_several_times()
    {
        int informers = 0;
        for (int self = 1; self < gateways; ++self) {
            const auto peers = directory(self);
            new_peers known;
            int told = 0;
            for (int i = 0; i < 10; ++i) {
                told += known.should_tell(address(0), 7, peers, start) ? 1 : 0;
            }
            CPPUNIT_ASSERT(told == 0 || told == 3);
            informers += told == 0 ? 0 : 1;
        }
        CPPUNIT_ASSERT_EQUAL(3, informers);
    }

    // Guards against a cost of each message that grows with the fleet: a gateway that does not tell
    // ranks the others only once.
    void ranking_is_made_once_for_each_start()
    {
        int changed = 0;
        for (int self = 1; self < gateways; ++self) {
            new_peers known;
            const bool is_informer = known.should_tell(address(0), 7, directory(self), start);
            // Alone, it would rank first.
            const peer_directory alone(address(self));
            if (!is_informer) {
                CPPUNIT_ASSERT(!known.should_tell(address(0), 7, alone, start));
                changed += known.should_tell(address(0), 8, alone, start) ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(gateways - 4, changed);
    }

    void gateway_that_is_back_is_told_again()
    {
        const peer_directory peers(address(1));
        new_peers known;
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(known.should_tell(address(0), 7, peers, start));
        }
        known.on_tick(seconds(2), start + seconds(1));
        CPPUNIT_ASSERT(!known.should_tell(address(0), 7, peers, start + seconds(1)));
        known.on_tick(seconds(2), start + seconds(4));
        CPPUNIT_ASSERT(known.should_tell(address(0), 7, peers, start + seconds(4)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_new_peers_test);

} // namespace snipespar::gateway
