#include "sidecar/load_time_estimate.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::sidecar {

namespace {

using std::chrono::milliseconds;

void load(load_time_estimate& estimate, duration took, int times = 1)
{
    for (int i = 0; i < times; ++i) {
        estimate.on_loaded(took);
    }
}

} // namespace

/// Load: demand that moves to other adapters, so that many of them have to be loaded at once.
class sidecar_load_time_estimate_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_load_time_estimate_test);
    CPPUNIT_TEST(load_from_the_engines_memory_makes_no_busy_store);
    CPPUNIT_TEST(first_load_from_the_engines_memory_is_recognized_later);
    CPPUNIT_TEST(slower_loads_show_a_busy_store);
    CPPUNIT_TEST(store_is_idle_again_after_fast_loads);
    CPPUNIT_TEST(stalled_loads_are_forgotten);
    CPPUNIT_TEST(single_stalled_load_leaves_the_estimate);
    CPPUNIT_TEST(clock_that_stood_still_is_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    // One load of 25 ms let all later ones of 257 ms count as slow, so that the engine loaded half
    // as many adapters at a time for the rest of its life while calls queued for them.
    void load_from_the_engines_memory_makes_no_busy_store()
    {
        load_time_estimate estimate;
        load(estimate, milliseconds(257), 3);
        load(estimate, milliseconds(25));
        load(estimate, milliseconds(257));
        CPPUNIT_ASSERT(!estimate.is_store_busy());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.257, estimate.usual_s(), 0.001);
    }

    void first_load_from_the_engines_memory_is_recognized_later()
    {
        load_time_estimate estimate;
        load(estimate, milliseconds(25));
        load(estimate, milliseconds(257), 2);
        CPPUNIT_ASSERT(!estimate.is_store_busy());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.257, estimate.usual_s(), 0.001);
    }

    void slower_loads_show_a_busy_store()
    {
        load_time_estimate estimate;
        load(estimate, milliseconds(250), 2);
        load(estimate, milliseconds(950), 3);
        CPPUNIT_ASSERT(estimate.is_store_busy());
    }

    void store_is_idle_again_after_fast_loads()
    {
        load_time_estimate estimate;
        load(estimate, milliseconds(250));
        load(estimate, milliseconds(500), 5);
        CPPUNIT_ASSERT(estimate.is_store_busy());
        load(estimate, milliseconds(250), 8);
        CPPUNIT_ASSERT(!estimate.is_store_busy());
    }

    // Four loads that a frozen host had held up were taken for the store's time, and all later ones
    // for loads from the engine's memory: the engine counted as full for the rest of its life.
    void stalled_loads_are_forgotten()
    {
        load_time_estimate estimate;
        load(estimate, milliseconds(257), 3);
        load(estimate, milliseconds(2000), 4);
        load(estimate, milliseconds(257), 20);
        CPPUNIT_ASSERT(!estimate.is_store_busy());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.257, estimate.usual_s(), 0.001);
    }

    // One load that took eight times as long made a busy store look idle.
    void single_stalled_load_leaves_the_estimate()
    {
        load_time_estimate estimate;
        load(estimate, milliseconds(257), 3);
        load(estimate, milliseconds(2000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.257, estimate.usual_s(), 0.001);
        load(estimate, milliseconds(900), 3);
        CPPUNIT_ASSERT(estimate.is_store_busy());
    }

    void clock_that_stood_still_is_ignored()
    {
        load_time_estimate estimate;
        load(estimate, milliseconds(250));
        load(estimate, {});
        load(estimate, milliseconds(-3));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, estimate.usual_s(), 0.001);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_load_time_estimate_test);

} // namespace snipespar::sidecar
