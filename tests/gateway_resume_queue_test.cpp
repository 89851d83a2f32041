#include "gateway/resume_queue.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::gateway {

class gateway_resume_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_resume_queue_test);
    CPPUNIT_TEST(stream_that_delivered_most_goes_first);
    CPPUNIT_TEST(streams_go_one_for_each_place);
    CPPUNIT_TEST(stream_that_does_not_wait_has_no_place);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retry allowance that goes to streams in the order of their failures.
    void stream_that_delivered_most_goes_first()
    {
        resume_queue queue;
        queue.add(1, 2);
        queue.add(2, 40);
        queue.add(3, 40);
        CPPUNIT_ASSERT(queue.is_among_first(2, 40, 1));
        CPPUNIT_ASSERT(!queue.is_among_first(3, 40, 1));
        CPPUNIT_ASSERT(!queue.is_among_first(1, 2, 2));
        queue.remove(2, 40);
        CPPUNIT_ASSERT(queue.is_among_first(3, 40, 1));
    }

    void streams_go_one_for_each_place()
    {
        resume_queue queue;
        for (std::uint64_t number = 1; number <= 10; ++number) {
            queue.add(number, 5);
        }
        int going = 0;
        for (std::uint64_t number = 1; number <= 10; ++number) {
            going += queue.is_among_first(number, 5, 3) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, going);
        CPPUNIT_ASSERT(!queue.is_among_first(1, 5, 0));
    }

    void stream_that_does_not_wait_has_no_place()
    {
        resume_queue queue;
        CPPUNIT_ASSERT(!queue.is_among_first(1, 0, 5));
        queue.add(1, 0);
        queue.remove(1, 0);
        queue.remove(1, 0);
        CPPUNIT_ASSERT(!queue.is_among_first(1, 0, 5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_resume_queue_test);

} // namespace snipespar::gateway
