#include "gateway/stop_plan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(50)};
// The users' load balancer asks once a second and takes a gateway out after two misses.
constexpr auto balancer_bound = milliseconds(2000);
// Time from SIGTERM to SIGKILL at the users.
constexpr auto grace = milliseconds(8000);

} // namespace

class gateway_stop_plan_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_stop_plan_test);
    CPPUNIT_TEST(running_gateway_does_not_stop);
    CPPUNIT_TEST(listener_stays_open_until_the_balancer_has_noticed);
    CPPUNIT_TEST(listener_is_closed_before_the_exit);
    CPPUNIT_TEST(exit_waits_for_answers_that_are_not_written);
    CPPUNIT_TEST(repeated_stop_does_not_start_again);
    CPPUNIT_TEST(open_calls_are_ended_once_before_the_exit);
    CPPUNIT_TEST(call_that_cannot_end_in_time_is_not_taken);
    CPPUNIT_TEST(short_grace_leaves_time_for_every_step);
    CPPUNIT_TEST_SUITE_END();

public:
    void running_gateway_does_not_stop()
    {
        stop_plan plan(grace);
        CPPUNIT_ASSERT(!plan.has_begun());
        CPPUNIT_ASSERT(!plan.closes_idle_connections(start));
        CPPUNIT_ASSERT(plan.next({}, start) == stop_step::serve);
    }

    void listener_stays_open_until_the_balancer_has_noticed()
    {
        stop_plan plan(grace);
        plan.begin(start);
        for (auto after = milliseconds(0); after <= balancer_bound; after += milliseconds(20)) {
            CPPUNIT_ASSERT(plan.next({}, start + after) == stop_step::serve);
        }
    }

    // Guards against an exit over connections that the kernel has accepted and the gateway has not.
    void listener_is_closed_before_the_exit()
    {
        stop_plan plan(grace);
        plan.begin(start);
        const auto now = start + milliseconds(4000);
        CPPUNIT_ASSERT(plan.next({}, now) == stop_step::close_listener);
        // Closing it has brought two more connections, one of them with a request.
        CPPUNIT_ASSERT(plan.next({1, 2}, now) == stop_step::serve);
        CPPUNIT_ASSERT(plan.next({0, 1}, now) == stop_step::serve);
        CPPUNIT_ASSERT(plan.next({}, now) == stop_step::exit);
    }

    // Guards against an exit between the end of an exchange and the write of its last bytes.
    void exit_waits_for_answers_that_are_not_written()
    {
        stop_plan plan(grace);
        plan.begin(start);
        const auto now = start + milliseconds(3000);
        CPPUNIT_ASSERT(plan.next({1, 1}, now) == stop_step::close_listener);
        CPPUNIT_ASSERT(plan.next({0, 1}, now + milliseconds(20)) == stop_step::serve);
        CPPUNIT_ASSERT(plan.next({0, 1}, now + milliseconds(3000)) == stop_step::serve);
        CPPUNIT_ASSERT(plan.next({0, 0}, now + milliseconds(3020)) == stop_step::exit);
    }

    void repeated_stop_does_not_start_again()
    {
        stop_plan plan(grace);
        plan.begin(start);
        plan.begin(start + milliseconds(2000));
        CPPUNIT_ASSERT(plan.next({}, start + milliseconds(3000)) == stop_step::close_listener);
    }

    // Guards against requests that the end of the grace cuts off without an answer.
    void open_calls_are_ended_once_before_the_exit()
    {
        stop_plan plan(grace);
        plan.begin(start);
        plan.next({1, 1}, start + milliseconds(3000));
        CPPUNIT_ASSERT(plan.next({1, 1}, start + milliseconds(7100)) == stop_step::serve);
        CPPUNIT_ASSERT(plan.next({1, 1}, start + milliseconds(7200)) == stop_step::end_calls);
        CPPUNIT_ASSERT(plan.next({0, 1}, start + milliseconds(7220)) == stop_step::serve);
        CPPUNIT_ASSERT(plan.next({0, 0}, start + milliseconds(7240)) == stop_step::exit);
        CPPUNIT_ASSERT(plan.exit_delay() > milliseconds(7300) && plan.exit_delay() < grace);
    }

    // Guards against requests that come late in the grace and are cut off at its end.
    void call_that_cannot_end_in_time_is_not_taken()
    {
        stop_plan plan(grace);
        CPPUNIT_ASSERT(plan.takes_call(true, grace, start));
        plan.begin(start);
        // Callers cannot go elsewhere yet, and most streams end long before their time limit.
        CPPUNIT_ASSERT(plan.takes_call(true, grace, start + milliseconds(1000)));
        CPPUNIT_ASSERT(!plan.takes_call(true, milliseconds(5000), start + milliseconds(3000)));
        CPPUNIT_ASSERT(plan.takes_call(true, milliseconds(4000), start + milliseconds(3000)));
        CPPUNIT_ASSERT(!plan.takes_call(false, grace, start + milliseconds(1000)));
        CPPUNIT_ASSERT(plan.takes_call(false, milliseconds(600), start + milliseconds(6000)));
        CPPUNIT_ASSERT(!plan.takes_call(false, milliseconds(600), start + milliseconds(7000)));
    }

    void short_grace_leaves_time_for_every_step()
    {
        constexpr auto short_grace = milliseconds(1000);
        stop_plan plan(short_grace);
        plan.begin(start);
        CPPUNIT_ASSERT(plan.next({1, 1}, start + milliseconds(500)) == stop_step::close_listener);
        CPPUNIT_ASSERT(plan.next({1, 1}, start + milliseconds(920)) == stop_step::end_calls);
        CPPUNIT_ASSERT(plan.exit_delay() > milliseconds(920) && plan.exit_delay() < short_grace);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stop_plan_test);

} // namespace snipespar::gateway
