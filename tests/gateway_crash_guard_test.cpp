#include "gateway/crash_guard.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
constexpr poison::fingerprint crasher = 7;
constexpr poison::fingerprint harmless = 8;

upstream_id id(int number)
{
    return upstream_id("i-" + std::to_string(number));
}

// Both requests were in flight at an upstream whose process ends.
void crash(crash_guard& guard, int number, time_point now)
{
    guard.on_broken(crasher, id(number), 1, now);
    guard.on_broken(harmless, id(number), 1, now);
    guard.on_upstream_ended(id(number), now + milliseconds(400));
}

} // namespace

class gateway_crash_guard_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_crash_guard_test);
    CPPUNIT_TEST(request_is_refused_after_three_crashes);
    CPPUNIT_TEST(broken_connection_to_a_living_upstream_is_no_crash);
    CPPUNIT_TEST(harmless_request_is_cleared_by_its_response);
    CPPUNIT_TEST(crashes_seen_by_several_gateways_add_up);
    CPPUNIT_TEST(findings_expire);
    CPPUNIT_TEST_SUITE_END();

public:
    void request_is_refused_after_three_crashes()
    {
        crash_guard guard;
        CPPUNIT_ASSERT(guard.is_empty());
        crash(guard, 1, start);
        crash(guard, 2, start);
        CPPUNIT_ASSERT(!guard.is_refused(crasher, start + seconds(1)));
        crash(guard, 3, start);
        CPPUNIT_ASSERT(guard.is_refused(crasher, start + seconds(1)));
        CPPUNIT_ASSERT(guard.refusal_time(crasher, start + seconds(1)) > seconds(60));
        CPPUNIT_ASSERT(!guard.is_refused(99, start + seconds(1)));
    }

    void broken_connection_to_a_living_upstream_is_no_crash()
    {
        crash_guard guard;
        for (int i = 0; i < 10; ++i) {
            guard.on_broken(crasher, id(i), 1, start);
        }
        CPPUNIT_ASSERT(!guard.is_refused(crasher, start));
        // Upstreams that leave later have not crashed because of it.
        guard.on_tick(start + seconds(6));
        CPPUNIT_ASSERT(guard.is_empty());
        for (int i = 0; i < 10; ++i) {
            guard.on_upstream_ended(id(i), start + seconds(6));
        }
        CPPUNIT_ASSERT(!guard.is_refused(crasher, start + seconds(6)));
    }

    void harmless_request_is_cleared_by_its_response()
    {
        crash_guard guard;
        crash(guard, 1, start);
        crash(guard, 2, start);
        guard.on_completed(harmless, start + seconds(1));
        crash(guard, 3, start + seconds(2));
        CPPUNIT_ASSERT(guard.is_refused(crasher, start + seconds(3)));
        CPPUNIT_ASSERT(!guard.is_refused(harmless, start + seconds(3)));
    }

    // The first announcement is lost.
    void crashes_seen_by_several_gateways_add_up()
    {
        std::vector<crash_guard> guards(3);
        for (int i = 0; i < 3; ++i) {
            guards[static_cast<std::size_t>(i)].on_broken(crasher, id(i), 1, start);
            guards[static_cast<std::size_t>(i)].on_upstream_ended(id(i), start);
        }
        for (auto& from : guards) {
            CPPUNIT_ASSERT(!from.next_announcement().empty());
            const auto digest = from.next_announcement();
            for (auto& to : guards) {
                to.merge(digest, start);
                to.merge(digest, start);
            }
            CPPUNIT_ASSERT(!from.next_announcement().empty());
            CPPUNIT_ASSERT(from.next_announcement().empty());
        }
        for (const auto& guard : guards) {
            CPPUNIT_ASSERT(guard.is_refused(crasher, start));
        }
    }

    void findings_expire()
    {
        crash_guard guard;
        for (int i = 0; i < 3; ++i) {
            crash(guard, i, start);
        }
        CPPUNIT_ASSERT(!guard.is_refused(crasher, start + std::chrono::minutes(11)));
        guard.on_tick(start + std::chrono::minutes(11));
        CPPUNIT_ASSERT(guard.is_empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_crash_guard_test);

} // namespace snipespar::gateway
