#include "gateway/adapter_popularity.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(50)};

// A hundred calls per second, every `nth` one for the popular adapter.
time_point load(adapter_popularity& popularity, time_point from, int calls, int nth)
{
    auto now = from;
    for (int i = 0; i < calls; ++i) {
        now += milliseconds(10);
        popularity.on_call(i % nth == 0 ? "base/hot" : "base/a" + std::to_string(i), now);
    }
    return now;
}

} // namespace

class gateway_adapter_popularity_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_adapter_popularity_test);
    CPPUNIT_TEST(share_of_a_popular_adapter_is_reported);
    CPPUNIT_TEST(rare_adapters_have_no_share);
    CPPUNIT_TEST(share_follows_a_shift_of_demand);
    CPPUNIT_TEST_SUITE_END();

public:
    void share_of_a_popular_adapter_is_reported()
    {
        adapter_popularity popularity;
        const auto now = load(popularity, start, 1000, 4);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, popularity.share("base/hot", now), 0.02);
    }

    void rare_adapters_have_no_share()
    {
        adapter_popularity popularity;
        const auto now = load(popularity, start, 1000, 4);
        CPPUNIT_ASSERT_EQUAL(0.0, popularity.share("base/a999", now));
        CPPUNIT_ASSERT_EQUAL(0.0, popularity.share("base/unknown", now));
    }

    // Load: calls for the most popular adapter stop.
    void share_follows_a_shift_of_demand()
    {
        adapter_popularity popularity;
        auto now = load(popularity, start, 1000, 2);
        now = load(popularity, now, 600, 1000);
        CPPUNIT_ASSERT(popularity.share("base/hot", now) < 0.1);
        popularity.on_tick(now + std::chrono::seconds(60));
        CPPUNIT_ASSERT_EQUAL(0.0, popularity.share("base/hot", now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_adapter_popularity_test);

} // namespace snipespar::gateway
