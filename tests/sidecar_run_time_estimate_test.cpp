#include "sidecar/run_time_estimate.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::sidecar {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(50)};

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

class sidecar_run_time_estimate_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_run_time_estimate_test);
    CPPUNIT_TEST(run_time_follows_from_calls_begun_and_running);
    CPPUNIT_TEST(nothing_is_known_at_first);
    CPPUNIT_TEST(standstill_does_not_count);
    CPPUNIT_TEST_SUITE_END();

public:
    // Twenty calls a second of which ten run at a time.
    void run_time_follows_from_calls_begun_and_running()
    {
        run_time_estimate estimate;
        run(estimate, start, 200);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, seconds(estimate.value()), 0.02);
    }

    void nothing_is_known_at_first()
    {
        run_time_estimate estimate;
        run(estimate, start, 5);
        CPPUNIT_ASSERT(estimate.value() == duration{});
    }

    // A frozen host must not take the time of its freeze for that of its streams.
    void standstill_does_not_count()
    {
        run_time_estimate estimate;
        const auto frozen_at = run(estimate, start, 200);
        const auto before = seconds(estimate.value());
        run(estimate, frozen_at + std::chrono::seconds(5), 20);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before, seconds(estimate.value()), 0.03);
    }

private:
    static time_point run(run_time_estimate& estimate, time_point now, int reports)
    {
        for (int i = 0; i < reports; ++i, now += milliseconds(50)) {
            estimate.on_given();
            estimate.on_report(10, now);
        }
        return now;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_run_time_estimate_test);

} // namespace snipespar::sidecar
