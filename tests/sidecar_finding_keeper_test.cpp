#include "sidecar/finding_keeper.h"

#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace snipespar::sidecar {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
const cli::endpoint gateway{"127.0.0.1", 7600};
constexpr poison::fingerprint deadly = 17;

/// Crashes of different upstreams, each with the deadly request alone in flight.
poison::suspect_digest findings(int crashes)
{
    poison::suspect_report report{deadly, {}};
    for (int i = 0; i < crashes; ++i) {
        report.crashes.push_back(
            {{upstream_id(fmt::format("u{}", i)), 1}, true, false, minutes(5)});
    }
    return {report};
}

} // namespace

/// What gateways have found, after all of them were killed at one moment.
class sidecar_finding_keeper_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_finding_keeper_test);
    CPPUNIT_TEST(gateway_that_starts_refuses_what_was_refused);
    CPPUNIT_TEST(gateway_is_told_again_after_its_restart_only);
    CPPUNIT_TEST(findings_expire);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that crash three upstreams more after each loss of all gateways.
    void gateway_that_starts_refuses_what_was_refused()
    {
        finding_keeper keeper;
        keeper.keep(findings(3), start);
        gateway::crash_guard started;
        const gateway::request_prints prints{.request = deadly, .parts = {}, .content = 0};
        CPPUNIT_ASSERT(!started.is_refused(prints, start + seconds(1)));
        started.merge(keeper.on_message(gateway, 1, start + seconds(1)), start + seconds(1));
        CPPUNIT_ASSERT(started.is_refused(prints, start + seconds(1)));
    }

    void gateway_is_told_again_after_its_restart_only()
    {
        finding_keeper keeper;
        keeper.keep(findings(3), start);
        for (const std::uint64_t process : {1, 2}) {
            // A first message may be lost.
            CPPUNIT_ASSERT(!keeper.on_message(gateway, process, start).empty());
            CPPUNIT_ASSERT(!keeper.on_message(gateway, process, start).empty());
            int told = 0;
            for (int i = 0; i < 20; ++i) {
                told += keeper.on_message(gateway, process, start).empty() ? 0 : 1;
            }
            CPPUNIT_ASSERT(told <= 1);
        }
    }

    void findings_expire()
    {
        finding_keeper keeper;
        keeper.keep(findings(3), start);
        keeper.on_tick(start + minutes(11));
        CPPUNIT_ASSERT(keeper.on_message(gateway, 1, start + minutes(11)).empty());
        // Too few to refuse anything.
        keeper.keep(findings(2), start + minutes(11));
        CPPUNIT_ASSERT(keeper.on_message(gateway, 2, start + minutes(11)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_finding_keeper_test);

} // namespace snipespar::sidecar
