#include "process/support/child_process.h"
#include "process/support/fleet.h"
#include "process/support/port_source.h"
#include "process/support/tcp_cutter.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdint>
#include <set>
#include <string>
#include <thread>

namespace snipespar::testing {

/// Tests the harness: other tests rely on each injected fault taking effect.
class process_support_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_support_test);
    CPPUNIT_TEST(program_is_run_and_reaped);
    CPPUNIT_TEST(output_is_complete_when_the_program_has_ended);
    CPPUNIT_TEST(cutter_brings_each_fault_about);
    CPPUNIT_TEST(sources_never_hand_out_the_same_port);
    CPPUNIT_TEST_SUITE_END();

public:
    void program_is_run_and_reaped()
    {
        child_process version({"snipespar", {"--version"}, {}});
        CPPUNIT_ASSERT(version.wait() == 0);
        CPPUNIT_ASSERT(version.wait_for_output("snipespar "));
        child_process service({"service_stand_in", {}, {}});
        CPPUNIT_ASSERT(service.wait_for_output("listening "));
        CPPUNIT_ASSERT(!service.wait_for_output("not printed", std::chrono::milliseconds(10)));
        service.kill();
        CPPUNIT_ASSERT(service.wait() == 128 + SIGKILL);
    }

    void output_is_complete_when_the_program_has_ended()
    {
        constexpr int starts = 50;
        for (int i = 0; i < starts; ++i) {
            child_process usage({"snipespar", {"--help"}, {}});
            CPPUNIT_ASSERT(usage.wait() == 0);
            CPPUNIT_ASSERT(usage.output().ends_with('\n'));
            const auto length = usage.output().size();
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            CPPUNIT_ASSERT_EQUAL(length, usage.output().size());
        }
    }

    void cutter_brings_each_fault_about()
    {
        constexpr std::chrono::milliseconds short_limit{200};
        child_process service({"service_stand_in", {}, {}});
        CPPUNIT_ASSERT(service.wait_for_output("\n"));
        const auto port = std::stoul(service.output().substr(service.output().rfind(':') + 1));
        tcp_cutter cutter({"127.0.0.1", static_cast<std::uint16_t>(port)});
        const http_call call;
        CPPUNIT_ASSERT(send_call(cutter.address(), call).ok());
        cutter.set_towards_target(relay_mode::drop);
        CPPUNIT_ASSERT(!send_call(cutter.address(), call, short_limit).ok());
        cutter.set_towards_target(relay_mode::pass);
        cutter.set_from_target(relay_mode::freeze);
        CPPUNIT_ASSERT(!send_call(cutter.address(), call, short_limit).ok());
        cutter.set_from_target(relay_mode::pass);
        CPPUNIT_ASSERT(send_call(cutter.address(), call).ok());
        cutter.set_unreachable(true);
        CPPUNIT_ASSERT(!send_call(cutter.address(), call).ok());
    }

    // Guards against tests in several processes that take each other's ports on 127.0.1.1 and so
    // on.
    void sources_never_hand_out_the_same_port()
    {
        constexpr int ports_of_each = 120;
        port_source one;
        port_source other;
        std::set<std::uint16_t> ports;
        for (int i = 0; i < ports_of_each; ++i) {
            CPPUNIT_ASSERT(ports.insert(one.next()).second);
            CPPUNIT_ASSERT(ports.insert(other.next()).second);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_support_test);

} // namespace snipespar::testing
