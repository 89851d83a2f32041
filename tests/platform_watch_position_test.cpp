#include "platform/watch_position.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace snipespar::platform {

class platform_watch_position_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_watch_position_test);
    CPPUNIT_TEST(restored_store_is_listed_again);
    CPPUNIT_TEST(response_from_before_the_restoration_is_ignored);
    CPPUNIT_TEST(store_without_eras_is_followed_by_revision);
    CPPUNIT_TEST_SUITE_END();

    using change = watch_position::era_change;

public:
    void restored_store_is_listed_again()
    {
        watch_position position;
        CPPUNIT_ASSERT(position.on_era(3) == change::none);
        position.on_listed(100);
        CPPUNIT_ASSERT(position.on_era(3) == change::none);
        position.on_polled(120);
        CPPUNIT_ASSERT(position.on_era(4) == change::restored);
        CPPUNIT_ASSERT(!position.is_listed());
        CPPUNIT_ASSERT(position.on_era(4) == change::none);
        // Revisions of the new era may be lower.
        position.on_listed(90);
        CPPUNIT_ASSERT(position.is_listed());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{90}, position.revision());
    }

    void response_from_before_the_restoration_is_ignored()
    {
        watch_position position;
        CPPUNIT_ASSERT(position.on_era(4) == change::none);
        position.on_listed(90);
        CPPUNIT_ASSERT(position.on_era(3) == change::outdated);
        CPPUNIT_ASSERT(position.is_listed());
        CPPUNIT_ASSERT(position.era() == std::optional<std::uint64_t>(4));
    }

    void store_without_eras_is_followed_by_revision()
    {
        watch_position position;
        CPPUNIT_ASSERT(position.on_era(std::nullopt) == change::none);
        position.on_listed(7);
        position.on_polled(9);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, position.revision());
        position.invalidate();
        CPPUNIT_ASSERT(!position.is_listed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_watch_position_test);

} // namespace snipespar::platform
