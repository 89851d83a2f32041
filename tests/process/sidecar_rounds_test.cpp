#include "control/message.h"
#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace snipespar::testing {

namespace {

namespace asio = boost::asio;

// Sends the sidecar what a gateway would.
void send_demand(const fleet_member& sidecar, const std::string& adapter)
{
    const control::adapter_demand demand{.gateway = "front-0",
                                         .gateway_start = 1,
                                         .upstream = "i-0",
                                         .upstream_start_ms = 0,
                                         .adapter_slots = 4,
                                         .models = {"base"},
                                         .uses = {{"base", adapter, 1, 0}},
                                         .versions = {}};
    asio::io_context context;
    asio::ip::udp::socket socket(context, asio::ip::udp::v4());
    socket.send_to(asio::buffer(control::encode(demand)),
                   {asio::ip::make_address(sidecar.address.ip), sidecar.address.port});
}

bool holds(const fleet_member& engine, const std::string& adapter)
{
    const auto reply = send_call(engine.address, {"GET", "/report", {}, {}});
    return reply.ok() && reply->body.find('"' + adapter + '@') != std::string::npos;
}

} // namespace

/// The main loop of a sidecar under unusual input.
class sidecar_rounds_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_rounds_test);
    CPPUNIT_TEST(rounds_go_on_after_a_name_that_no_order_can_carry);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a sidecar that lives on without giving orders.
    void rounds_go_on_after_a_name_that_no_order_can_carry()
    {
        const gateway_fleet fleet({.gateways = 0, .engines = 1, .services = 0});
        const auto& sidecar = fleet.sidecars.front();
        CPPUNIT_ASSERT(wait_until([&] {
            const auto reply = send_call(sidecar.admin, {"GET", "/ready", {}, {}});
            return reply.ok() && reply->status == 200;
        }));
        // Latin-1, which is allowed in a field of HTTP. Several rounds take place meanwhile.
        constexpr int demands = 10;
        for (int i = 0; i < demands; ++i) {
            send_demand(sidecar, "a\xe9");
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        CPPUNIT_ASSERT(wait_until(
            [&] {
                send_demand(sidecar, "a1");
                return holds(fleet.engines.front(), "a1");
            },
            std::chrono::seconds(5)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_rounds_test);

} // namespace snipespar::testing
