#include "gateway/resume_queue.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::gateway {

namespace {

constexpr time_point start{std::chrono::seconds(50)};

} // namespace

class gateway_resume_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_resume_queue_test);
    CPPUNIT_TEST(stream_that_delivered_most_goes_first);
    CPPUNIT_TEST(streams_go_one_for_each_place);
    CPPUNIT_TEST(stream_that_cannot_be_placed_lets_others_pass);
    CPPUNIT_TEST(stream_that_does_not_wait_has_no_place);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retry allowance that goes to streams in the order of their failures.
    void stream_that_delivered_most_goes_first()
    {
        resume_queue queue;
        queue.add(1, 2, start);
        queue.add(2, 40, start);
        queue.add(3, 40, start);
        CPPUNIT_ASSERT(queue.is_among_first(2, 40, 1, start));
        CPPUNIT_ASSERT(!queue.is_among_first(3, 40, 1, start));
        CPPUNIT_ASSERT(!queue.is_among_first(1, 2, 2, start));
        queue.remove(2, 40);
        CPPUNIT_ASSERT(queue.is_among_first(3, 40, 1, start));
    }

    void streams_go_one_for_each_place()
    {
        resume_queue queue;
        for (std::uint64_t number = 1; number <= 10; ++number) {
            queue.add(number, 5, start);
        }
        int going = 0;
        for (std::uint64_t number = 1; number <= 10; ++number) {
            going += queue.is_among_first(number, 5, 3, start) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, going);
        CPPUNIT_ASSERT(!queue.is_among_first(1, 5, 0, start));
    }

    // Guards against one stream without an engine that holds up all others.
    void stream_that_cannot_be_placed_lets_others_pass()
    {
        resume_queue queue;
        queue.add(1, 40, start + std::chrono::milliseconds(50));
        queue.add(2, 5, start);
        CPPUNIT_ASSERT(!queue.is_among_first(1, 40, 1, start));
        CPPUNIT_ASSERT(queue.is_among_first(2, 5, 1, start));
        const auto later = start + std::chrono::milliseconds(50);
        CPPUNIT_ASSERT(queue.is_among_first(1, 40, 1, later));
        CPPUNIT_ASSERT(!queue.is_among_first(2, 5, 1, later));
    }

    void stream_that_does_not_wait_has_no_place()
    {
        resume_queue queue;
        CPPUNIT_ASSERT(!queue.is_among_first(1, 0, 5, start));
        queue.add(1, 0, start);
        queue.remove(1, 0);
        queue.remove(1, 0);
        CPPUNIT_ASSERT(!queue.is_among_first(1, 0, 5, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_resume_queue_test);

} // namespace snipespar::gateway
