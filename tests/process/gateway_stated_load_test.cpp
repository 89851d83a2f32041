#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"

#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>
#include <thread>

namespace snipespar::testing {

/// Plain upstreams that state their load in their answers, behind a real gateway.
class gateway_stated_load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_stated_load_test);
    CPPUNIT_TEST(hopeless_call_is_refused_at_once_and_has_not_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against calls that wait behind work which will not be done in time, and against a
    // gateway that goes on refusing after the queue has gone.
    void hopeless_call_is_refused_at_once_and_has_not_run()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 1, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        set_load(fleet.services[0], "0,0,6,100");
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, send(fleet, fmt::format("usual{}", i)).status);
        }
        // At any cost of a call more work than fits into the five seconds that callers wait.
        set_load(fleet.services[0], "6,900000,6,10000");
        CPPUNIT_ASSERT_EQUAL(200U, send(fleet, "told").status);
        const auto refused = send(fleet, "refused");
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        CPPUNIT_ASSERT(refused.body.find("upstreams_backlogged") != std::string::npos);
        CPPUNIT_ASSERT(std::stod(refused.header("retry-after")) > 0);
        CPPUNIT_ASSERT(fleet.runs(fleet.services[0]).dump().find("\"refused\"") ==
                       std::string::npos);
        set_load(fleet.services[0], "0,0,6,100");
        CPPUNIT_ASSERT(wait_until([&] { return send(fleet, "later").status == 200; }));
    }

private:
    static void set_load(const fleet_member& upstream, const std::string& load)
    {
        const nlohmann::json faults{{"stated_load", load}};
        const auto reply = send_call(upstream.address, {"POST", "/faults", {}, faults.dump()});
        CPPUNIT_ASSERT(reply.ok() && reply->status == 200);
    }

    // An unreachable gateway gives status 0.
    static http_reply send(const gateway_fleet& fleet, const std::string& id)
    {
        auto reply = send_call(fleet.gateways[0].address, fleet.make_call("/unsafe/x", id));
        return reply.ok() ? *std::move(reply) : http_reply{};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stated_load_test);

} // namespace snipespar::testing
