#include "gateway/stream_version.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::gateway {

namespace {

using verdict = stream_version::verdict;

} // namespace

class gateway_stream_version_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_stream_version_test);
    CPPUNIT_TEST(first_events_bind_the_stream);
    CPPUNIT_TEST(attempt_without_events_binds_nothing);
    CPPUNIT_TEST(taken_up_stream_is_bound_from_the_start);
    CPPUNIT_TEST(process_that_was_replaced_under_its_name_is_noticed);
    CPPUNIT_TEST(stream_of_an_unknown_version_cannot_move);
    CPPUNIT_TEST_SUITE_END();

public:
    void first_events_bind_the_stream()
    {
        stream_version version;
        CPPUNIT_ASSERT(version.allows("v1") && version.allows("v2"));
        version.on_sent("v1");
        CPPUNIT_ASSERT(!version.is_confirmed());
        CPPUNIT_ASSERT(version.on_first_events("v1") == verdict::begins);
        CPPUNIT_ASSERT(version.is_confirmed() && version.is_known());
        CPPUNIT_ASSERT(version.allows("v1") && !version.allows("v2") && !version.allows(""));
        version.on_sent("v1");
        CPPUNIT_ASSERT(version.on_first_events("v1") == verdict::continues);
        version.on_sent("v2");
        CPPUNIT_ASSERT(version.on_first_events("v2") == verdict::differs);
    }

    void attempt_without_events_binds_nothing()
    {
        stream_version version;
        version.on_sent("v1");
        version.on_sent("v2");
        CPPUNIT_ASSERT(version.on_first_events("v2") == verdict::begins);
        CPPUNIT_ASSERT(version.required() == "v2");
    }

    void taken_up_stream_is_bound_from_the_start()
    {
        stream_version version;
        version.bind("v1");
        CPPUNIT_ASSERT(!version.allows("v2"));
        version.on_sent("v1");
        CPPUNIT_ASSERT(version.on_first_events("v1") == verdict::continues);
    }

    // Guards against events of a process that started under the name after the call was sent.
    void process_that_was_replaced_under_its_name_is_noticed()
    {
        stream_version version;
        version.bind("v1");
        version.on_sent("v1");
        CPPUNIT_ASSERT(version.on_first_events("v2") == verdict::differs);
        version.on_sent("v1");
        CPPUNIT_ASSERT(version.on_first_events("") == verdict::differs);
    }

    void stream_of_an_unknown_version_cannot_move()
    {
        stream_version version;
        version.on_sent("");
        CPPUNIT_ASSERT(version.on_first_events("v1") == verdict::begins);
        CPPUNIT_ASSERT(!version.is_known());
        CPPUNIT_ASSERT(!version.allows("v1") && !version.allows(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stream_version_test);

} // namespace snipespar::gateway
