#include "gateway/memory_budget.h"

#include "gateway/memory_share.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <utility>

namespace snipespar::gateway {

class gateway_memory_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_memory_budget_test);
    CPPUNIT_TEST(share_beyond_the_budget_is_denied);
    CPPUNIT_TEST(shares_are_given_back);
    CPPUNIT_TEST(small_owners_pass_while_large_ones_use_the_budget_up);
    CPPUNIT_TEST_SUITE_END();

public:
    void share_beyond_the_budget_is_denied()
    {
        const auto budget = std::make_shared<memory_budget>(100'000);
        memory_share first(budget);
        memory_share second(budget);
        CPPUNIT_ASSERT(first.try_resize(60'000));
        CPPUNIT_ASSERT(!budget->is_scarce());
        CPPUNIT_ASSERT(!second.try_resize(60'000));
        CPPUNIT_ASSERT(second.try_resize(40'000));
        CPPUNIT_ASSERT(budget->is_scarce());
        CPPUNIT_ASSERT(first.try_resize(10'000));
        CPPUNIT_ASSERT(second.try_resize(60'000));
        first.resize(90'000);
        CPPUNIT_ASSERT(!second.try_resize(60'001));
    }

    void shares_are_given_back()
    {
        const auto budget = std::make_shared<memory_budget>(100'000);
        {
            memory_share share(budget);
            CPPUNIT_ASSERT(share.try_resize(90'000));
            memory_share moved(std::move(share));
            memory_share assigned(budget);
            CPPUNIT_ASSERT(assigned.try_resize(5'000));
            assigned = std::move(moved);
            CPPUNIT_ASSERT(budget->used() > 80'000);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget->used());
    }

    // Guards against small requests that are refused because others send large ones.
    void small_owners_pass_while_large_ones_use_the_budget_up()
    {
        const auto budget = std::make_shared<memory_budget>(100'000);
        memory_share large(budget);
        large.resize(200'000);
        memory_share small(budget);
        CPPUNIT_ASSERT(small.try_resize(1'000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_memory_budget_test);

} // namespace snipespar::gateway
