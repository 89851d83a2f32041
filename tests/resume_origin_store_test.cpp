#include "resume/origin_store.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace snipespar::resume {

namespace {

using std::chrono::seconds;

constexpr time_point start{seconds(50)};
const stream_origin first{"llm", "v1"};
const stream_origin second{"llm", "v2"};

stream_key key(const std::string& request, const std::string& team = "shops")
{
    return make_stream_key(team_id(team), request);
}

} // namespace

class resume_origin_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(resume_origin_store_test);
    CPPUNIT_TEST(origin_is_held_for_its_lifetime);
    CPPUNIT_TEST(renewed_origin_is_held_longer);
    CPPUNIT_TEST(two_origins_under_one_name_are_not_reported);
    CPPUNIT_TEST(team_cannot_name_the_stream_of_another);
    CPPUNIT_TEST(oldest_records_give_way);
    CPPUNIT_TEST_SUITE_END();

public:
    void origin_is_held_for_its_lifetime()
    {
        origin_store store;
        store.put(key("r1"), first, start);
        store.put(key("r1"), first, start);
        CPPUNIT_ASSERT(store.find(key("r1"), start + origin_store::lifetime / 2) == first);
        CPPUNIT_ASSERT(!store.find(key("r1"), start + origin_store::lifetime));
        CPPUNIT_ASSERT(!store.find(key("r2"), start));
        store.on_tick(start + origin_store::lifetime);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store.size());
    }

    void renewed_origin_is_held_longer()
    {
        origin_store store;
        store.put(key("r1"), first, start);
        store.put(key("r1"), first, start + seconds(20));
        store.on_tick(start + origin_store::lifetime);
        CPPUNIT_ASSERT(store.find(key("r1"), start + origin_store::lifetime) == first);
        // After its lifetime the name may stand for another stream.
        const auto late = start + seconds(20) + origin_store::lifetime;
        store.put(key("r1"), second, late);
        CPPUNIT_ASSERT(store.find(key("r1"), late) == second);
    }

    // Guards against a caller that gives two attempts one name and gets either version.
    void two_origins_under_one_name_are_not_reported()
    {
        origin_store store;
        store.put(key("r1"), first, start);
        store.put(key("r1"), second, start);
        CPPUNIT_ASSERT(!store.find(key("r1"), start));
        store.put(key("r1"), first, start + seconds(1));
        CPPUNIT_ASSERT(!store.find(key("r1"), start + seconds(1)));
    }

    void team_cannot_name_the_stream_of_another()
    {
        CPPUNIT_ASSERT(key("r1") != key("r1", "others"));
        CPPUNIT_ASSERT(key("sr1", "shop") != key("r1", "shops"));
        CPPUNIT_ASSERT(key("r1") == key("r1"));
    }

    // Guards against a flood of streams that fills the memory of their holders.
    void oldest_records_give_way()
    {
        origin_store store;
        for (std::size_t i = 0; i < origin_store::capacity + 100; ++i) {
            store.put({i, i}, first, start + std::chrono::microseconds(i));
        }
        CPPUNIT_ASSERT_EQUAL(origin_store::capacity, store.size());
        const auto now = start + seconds(1);
        CPPUNIT_ASSERT(!store.find({0, 0}, now));
        CPPUNIT_ASSERT(store.find({origin_store::capacity, origin_store::capacity}, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resume_origin_store_test);

} // namespace snipespar::resume
