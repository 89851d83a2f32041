#include "gateway/queue_clock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(50)};
constexpr milliseconds tick{20};

// Arrival of a request that is read at `now` and whose connection has received nothing for `quiet`.
time_point arrival(const queue_clock& clock, time_point now, duration quiet)
{
    return clock.arrival(now, [&] { return quiet; });
}

} // namespace

/// Requests that are read late, as the process stood still.
class gateway_queue_clock_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_queue_clock_test);
    CPPUNIT_TEST(request_is_as_old_as_its_bytes_after_a_standstill);
    CPPUNIT_TEST(request_is_new_while_ticks_are_in_time);
    CPPUNIT_TEST(request_is_no_older_than_the_standstill);
    CPPUNIT_TEST(late_ticks_in_a_row_are_one_standstill);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a time limit that counts from when a request was read after a standstill.
    void request_is_as_old_as_its_bytes_after_a_standstill()
    {
        auto clock = ticked();
        const auto woken = start + milliseconds(1000);
        // Whichever comes first, the tick or the request.
        CPPUNIT_ASSERT(arrival(clock, woken, milliseconds(600)) == woken - milliseconds(600));
        clock.on_tick(woken);
        CPPUNIT_ASSERT(arrival(clock, woken, milliseconds(600)) == woken - milliseconds(600));
        // One that came just now, and one that waited behind others.
        CPPUNIT_ASSERT(arrival(clock, woken, milliseconds(0)) == woken);
        clock.on_tick(woken + tick);
        CPPUNIT_ASSERT(arrival(clock, woken + tick, milliseconds(620)) ==
                       woken - milliseconds(600));
    }

    // The kernel is not asked then.
    void request_is_new_while_ticks_are_in_time()
    {
        auto clock = ticked();
        const auto check = [&](time_point now) {
            CPPUNIT_ASSERT(clock.arrival(now, []() -> duration {
                CPPUNIT_FAIL("asked");
                return {};
            }) == now);
        };
        check(start + 2 * tick);
        const auto woken = start + milliseconds(1000);
        clock.on_tick(woken);
        for (auto now = woken; now <= woken + milliseconds(1000); now += tick) {
            clock.on_tick(now);
        }
        check(woken + milliseconds(1000));
    }

    // What was there before was read before.
    void request_is_no_older_than_the_standstill()
    {
        auto clock = ticked();
        const auto woken = start + milliseconds(1000);
        CPPUNIT_ASSERT(arrival(clock, woken, std::chrono::hours(1)) == start);
        clock.on_tick(woken);
        CPPUNIT_ASSERT(arrival(clock, woken, std::chrono::hours(1)) == start);
        CPPUNIT_ASSERT(arrival(clock, woken, -milliseconds(1)) == woken);
    }

    void late_ticks_in_a_row_are_one_standstill()
    {
        auto clock = ticked();
        clock.on_tick(start + milliseconds(1000));
        clock.on_tick(start + milliseconds(1200));
        CPPUNIT_ASSERT(arrival(clock, start + milliseconds(1210), milliseconds(900)) ==
                       start + milliseconds(310));
    }

private:
    static queue_clock ticked()
    {
        queue_clock clock;
        clock.on_tick(start - tick);
        clock.on_tick(start);
        return clock;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_queue_clock_test);

} // namespace snipespar::gateway
