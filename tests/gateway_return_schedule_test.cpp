#include "gateway/return_schedule.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};

} // namespace

class gateway_return_schedule_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_return_schedule_test);
    CPPUNIT_TEST(callers_return_at_the_rate_at_which_they_can_be_served);
    CPPUNIT_TEST(backlog_is_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against callers that are all told the same moment, though one of them can be served.
    void callers_return_at_the_rate_at_which_they_can_be_served()
    {
        return_schedule schedule;
        const auto opens_at = start + milliseconds(300);
        for (int i = 0; i < 8; ++i) {
            CPPUNIT_ASSERT(schedule.next(opens_at, 4, start) == opens_at + milliseconds(250 * i));
        }
        // The backlog has passed.
        CPPUNIT_ASSERT(schedule.next(start + seconds(20), 4, start + seconds(19)) ==
                       start + seconds(20));
    }

    void backlog_is_bounded()
    {
        return_schedule schedule;
        for (int i = 0; i < 1000; ++i) {
            CPPUNIT_ASSERT(schedule.next(start, 0.01, start) <= start + seconds(10));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_return_schedule_test);

} // namespace snipespar::gateway
