#include "link/heartbeat_monitor.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::link {

using namespace std::chrono_literals;

class heartbeat_monitor_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(heartbeat_monitor_test);
    CPPUNIT_TEST(link_without_frames_stays_dead);
    CPPUNIT_TEST(steady_frames_keep_the_link_alive);
    CPPUNIT_TEST(own_pause_leaves_time_to_read_queued_frames);
    CPPUNIT_TEST(own_pause_does_not_save_a_dead_link);
    CPPUNIT_TEST_SUITE_END();

public:
    void link_without_frames_stays_dead()
    {
        heartbeat_monitor monitor(1s, 3s, start);
        for (auto now = start; now < start + 3s; now += 250ms) {
            CPPUNIT_ASSERT(monitor.tick(now) != heartbeat_monitor::action::declare_dead);
        }
        CPPUNIT_ASSERT(monitor.tick(start + 3s) == heartbeat_monitor::action::declare_dead);
        monitor.frame_received(start + 3s);
        CPPUNIT_ASSERT(monitor.tick(start + 3s) == heartbeat_monitor::action::declare_dead);
    }

    void steady_frames_keep_the_link_alive()
    {
        heartbeat_monitor monitor(1s, 3s, start);
        int sent = 0;
        for (auto now = start; now < start + 60s; now += 250ms) {
            monitor.frame_received(now);
            const auto action = monitor.tick(now);
            CPPUNIT_ASSERT(action != heartbeat_monitor::action::declare_dead);
            sent += action == heartbeat_monitor::action::send_heartbeat ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(59, sent);
    }

    void own_pause_leaves_time_to_read_queued_frames()
    {
        heartbeat_monitor monitor(1s, 3s, start);
        monitor.tick(start + 1s);
        CPPUNIT_ASSERT(monitor.tick(start + 60s) != heartbeat_monitor::action::declare_dead);
        monitor.frame_received(start + 60s);
        CPPUNIT_ASSERT(monitor.tick(start + 62s) != heartbeat_monitor::action::declare_dead);
    }

    void own_pause_does_not_save_a_dead_link()
    {
        heartbeat_monitor monitor(1s, 3s, start);
        monitor.tick(start + 1s);
        monitor.tick(start + 60s);
        CPPUNIT_ASSERT(monitor.tick(start + 61s) == heartbeat_monitor::action::declare_dead);
    }

private:
    static constexpr time_point start{1000s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(heartbeat_monitor_test);

} // namespace snipespar::link
