#include "platform/watch_position.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <optional>

namespace snipespar::platform {

class platform_watch_position_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_watch_position_test);
    CPPUNIT_TEST(restored_store_is_listed_again);
    CPPUNIT_TEST(response_from_before_the_restoration_is_ignored);
    CPPUNIT_TEST(store_without_eras_is_followed_by_revision);
    CPPUNIT_TEST(damaged_era_does_not_make_later_responses_outdated);
    CPPUNIT_TEST(damaged_first_era_is_corrected);
    CPPUNIT_TEST(era_stated_again_and_again_is_followed);
    CPPUNIT_TEST(eras_beyond_the_known_one_are_plausible_up_to_a_step);
    CPPUNIT_TEST_SUITE_END();

    using change = watch_position::era_change;

    static constexpr auto largest = std::numeric_limits<std::uint64_t>::max();

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

    // Guards against a watch that follows nothing after one response with a damaged era.
    void damaged_era_does_not_make_later_responses_outdated()
    {
        watch_position position;
        CPPUNIT_ASSERT(position.on_era(3) == change::none);
        position.on_listed(100);
        for (std::uint64_t i = 1; i < 10; ++i) {
            CPPUNIT_ASSERT(position.on_era(largest - i) == change::doubtful);
            CPPUNIT_ASSERT(position.on_era(largest) == change::doubtful);
            CPPUNIT_ASSERT(position.on_era(largest) == change::doubtful);
            CPPUNIT_ASSERT(position.on_era(3) == change::none);
        }
        CPPUNIT_ASSERT(position.is_listed());
        CPPUNIT_ASSERT(position.on_era(4) == change::restored);
    }

    // Guards against the same if it was the first response of all.
    void damaged_first_era_is_corrected()
    {
        watch_position position;
        CPPUNIT_ASSERT(position.on_era(largest) == change::none);
        position.on_listed(100);
        CPPUNIT_ASSERT(position.on_era(3) == change::doubtful);
        CPPUNIT_ASSERT(position.on_era(3) == change::doubtful);
        CPPUNIT_ASSERT(position.on_era(3) == change::restored);
        CPPUNIT_ASSERT(!position.is_listed());
        CPPUNIT_ASSERT(position.on_era(3) == change::none);
        CPPUNIT_ASSERT(position.on_era(2) == change::outdated);
    }

    void era_stated_again_and_again_is_followed()
    {
        watch_position position;
        CPPUNIT_ASSERT(position.on_era(3) == change::none);
        // Different ones do not confirm each other.
        for (const std::uint64_t era : {70'000U, 80'000U, 70'000U, 80'000U, 80'000U}) {
            CPPUNIT_ASSERT(position.on_era(era) == change::doubtful);
        }
        CPPUNIT_ASSERT(position.on_era(80'000) == change::restored);
        CPPUNIT_ASSERT(position.on_era(80'001) == change::restored);
    }

    void eras_beyond_the_known_one_are_plausible_up_to_a_step()
    {
        constexpr auto step = watch_position::max_era_step;
        watch_position position;
        CPPUNIT_ASSERT(position.on_era(5) == change::none);
        CPPUNIT_ASSERT(position.on_era(6 + step) == change::doubtful);
        CPPUNIT_ASSERT(position.on_era(5 + step) == change::restored);
        CPPUNIT_ASSERT(position.on_era(5) == change::outdated);
        CPPUNIT_ASSERT(position.on_era(4) == change::doubtful);
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
