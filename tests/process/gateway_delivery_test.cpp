#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>

namespace snipespar::testing {

namespace {

constexpr int short_events = 8;

bool set_faults(const fleet_member& upstream, const std::string& faults)
{
    const auto reply = send_call(upstream.address, {"POST", "/faults", {}, faults});
    return reply.ok() && reply->status == 200;
}

} // namespace

/// An accepted request gets its whole answer: gateways that stop, upstreams that are silent for a
/// while and callers that are slow.
class gateway_delivery_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_delivery_test);
    CPPUNIT_TEST(stream_of_a_silent_engine_goes_on_when_no_other_can_take_it);
    CPPUNIT_TEST(call_at_a_silent_upstream_is_answered_when_no_other_can_take_it);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream that is broken off because its engine was silent for a second.
    void stream_of_a_silent_engine_goes_on_when_no_other_can_take_it()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 1, .services = 0});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(fleet.change_config([](nlohmann::json& config) {
            config["routes"][0]["gap_aim_ms"] = 300;
            config["routes"][0]["path_prefix"] = "/stream/new/";
        }));
        const auto& gateway = fleet.gateways.front();
        CPPUNIT_ASSERT(wait_until(
            [&] { return send(gateway, fleet.make_call("/stream/new/x", "w")).status == 200; }));
        CPPUNIT_ASSERT(set_faults(fleet.engines[0], R"({"pause_ms": 1600})"));
        const auto stream = send(gateway, fleet.make_call("/stream/new/x", "s1"));
        CPPUNIT_ASSERT_EQUAL(200U, stream.status);
        std::string expected;
        for (int number = 1; number <= short_events; ++number) {
            expected += fmt::format("id: {0}\ndata: s1 {0}\n\n", number);
        }
        CPPUNIT_ASSERT_EQUAL(expected, stream.body);
    }

    // Guards against an answer that is replaced by a failure because its upstream was silent.
    void call_at_a_silent_upstream_is_answered_when_no_other_can_take_it()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(fleet.change_config([](nlohmann::json& config) {
            config["routes"][2]["target_latency_ms"] = 100;
            config["routes"][2]["path_prefix"] = "/safe/new/";
        }));
        const auto& gateway = fleet.gateways.front();
        CPPUNIT_ASSERT(wait_until(
            [&] { return send(gateway, fleet.make_call("/safe/new/x", "w")).status == 200; }));
        CPPUNIT_ASSERT(set_faults(fleet.services[0], R"({"pause_ms": 1200})"));
        CPPUNIT_ASSERT_EQUAL(200U, send(gateway, fleet.make_call("/safe/new/x", "s1")).status);
    }

private:
    // An unreachable gateway gives status 0.
    static http_reply send(const fleet_member& gateway, const http_call& call)
    {
        auto reply = send_call(gateway.address, call);
        return reply.ok() ? *std::move(reply) : http_reply{};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_delivery_test);

} // namespace snipespar::testing
