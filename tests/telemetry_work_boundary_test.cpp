#include "telemetry/work_boundary.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>
#include <string>
#include <vector>

namespace snipespar::telemetry {

class telemetry_work_boundary_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(telemetry_work_boundary_test);
    CPPUNIT_TEST(sound_unit_is_run_once);
    CPPUNIT_TEST(exception_is_logged_and_undone);
    CPPUNIT_TEST(failing_cleanup_is_contained_too);
    CPPUNIT_TEST_SUITE_END();

public:
    void sound_unit_is_run_once()
    {
        int runs = 0;
        CPPUNIT_ASSERT(contain(log_, "message", "m1", [&] { ++runs; }, [&] { runs += 10; }));
        CPPUNIT_ASSERT_EQUAL(1, runs);
        CPPUNIT_ASSERT(lines_.empty());
    }

    void exception_is_logged_and_undone()
    {
        bool is_undone = false;
        CPPUNIT_ASSERT(!contain(
            log_, "message", "m1", [] { throw std::length_error("too long"); },
            [&] { is_undone = true; }));
        CPPUNIT_ASSERT(is_undone);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines_.size());
        CPPUNIT_ASSERT(lines_[0].ends_with(
            "level=error event=unit_failed unit=message id=m1 reason=\"too long\"\n"));
    }

    void failing_cleanup_is_contained_too()
    {
        CPPUNIT_ASSERT(!contain(
            log_, "message", "m1", [] { throw std::bad_alloc(); },
            [] { throw std::runtime_error("again"); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lines_.size());
    }

private:
    std::vector<std::string> lines_;
    logger log_{[this](std::string_view line) { lines_.emplace_back(line); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_work_boundary_test);

} // namespace snipespar::telemetry
