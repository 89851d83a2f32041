#include "sidecar/last_broadcast.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::sidecar {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(50)};

gateway::engine_status status()
{
    gateway::engine_status result;
    result.models = {"base"};
    result.adapters = {{"base/a1", 1}};
    return result;
}

} // namespace

class sidecar_last_broadcast_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_last_broadcast_test);
    CPPUNIT_TEST(unchanged_status_is_confirmed_for_a_while);
    CPPUNIT_TEST(report_to_some_gateways_is_not_confirmed_to_all);
    CPPUNIT_TEST_SUITE_END();

public:
    void unchanged_status_is_confirmed_for_a_while()
    {
        last_broadcast broadcast;
        CPPUNIT_ASSERT(!broadcast.can_confirm(status(), start));
        broadcast.on_sent_to_all(status(), 7, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, broadcast.sequence());
        auto busier = status();
        busier.running = 5;
        CPPUNIT_ASSERT(broadcast.can_confirm(busier, start + milliseconds(450)));
        CPPUNIT_ASSERT(!broadcast.can_confirm(status(), start + milliseconds(1800)));
        busier.is_full = true;
        CPPUNIT_ASSERT(!broadcast.can_confirm(busier, start));
        broadcast.on_new_gateway();
        CPPUNIT_ASSERT(!broadcast.can_confirm(status(), start));
    }

    // Some gateways were told of an eviction that was then taken back; the next heartbeat confirmed
    // it to them, as the status was that of the last report to all again.
    void report_to_some_gateways_is_not_confirmed_to_all()
    {
        last_broadcast broadcast;
        broadcast.on_sent_to_all(status(), 7, start);
        broadcast.on_sent_to_some();
        CPPUNIT_ASSERT(!broadcast.can_confirm(status(), start + milliseconds(450)));
        broadcast.on_sent_to_all(status(), 9, start + milliseconds(450));
        CPPUNIT_ASSERT(broadcast.can_confirm(status(), start + milliseconds(900)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_last_broadcast_test);

} // namespace snipespar::sidecar
