#include "gateway/evacuation_news.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
const std::set<failure_domain_id> none;
const std::set<failure_domain_id> one{failure_domain_id("a")};

} // namespace

/// An evacuation while connections to the store are silent.
class gateway_evacuation_news_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_evacuation_news_test);
    CPPUNIT_TEST(missed_change_is_read_once);
    CPPUNIT_TEST(change_that_spreads_causes_no_reads);
    CPPUNIT_TEST(nothing_is_concluded_from_no_statement);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a gateway that hears of an evacuation when its silent poll ends, after 26 s.
    void missed_change_is_read_once()
    {
        evacuation_news behind;
        behind.on_read(none, start);
        evacuation_news ahead;
        ahead.on_read(one, start + seconds(10));
        const auto statement = ahead.stated();
        CPPUNIT_ASSERT(behind.should_read(statement, start + seconds(10)));
        CPPUNIT_ASSERT(!behind.should_read(statement, start + seconds(11)));
        // The one that is ahead cannot know it; it reads once, however often the other repeats.
        int reads = 0;
        for (int i = 0; i < 90; ++i) {
            reads += ahead.should_read(behind.stated(), start + seconds(11) + milliseconds(100 * i))
                         ? 1
                         : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, reads);
        behind.on_read(one, start + seconds(12));
        CPPUNIT_ASSERT(!behind.should_read(statement, start + seconds(20)));
    }

    void change_that_spreads_causes_no_reads()
    {
        evacuation_news first;
        first.on_read(none, start);
        evacuation_news second = first;
        first.on_read(one, start + seconds(10));
        CPPUNIT_ASSERT(
            !first.should_read(second.stated(), start + seconds(10) + milliseconds(900)));
        CPPUNIT_ASSERT(first.should_read(second.stated(), start + seconds(11)));
    }

    void nothing_is_concluded_from_no_statement()
    {
        evacuation_news news;
        CPPUNIT_ASSERT(!news.should_read(5, start));
        news.on_read(none, start);
        CPPUNIT_ASSERT(news.stated() != 0);
        CPPUNIT_ASSERT(!news.should_read(0, start + seconds(10)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_evacuation_news_test);

} // namespace snipespar::gateway
