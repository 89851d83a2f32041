#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"

#include <algorithm>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <fmt/format.h>
#include <string>
#include <thread>
#include <vector>

namespace snipespar::testing {

namespace {

constexpr std::size_t upstreams = 8;
// Three crashes show the cause; one more copy may have been in flight.
constexpr std::ptrdiff_t most_crashes = 4;
const std::vector<std::string> keys{"key-1", "key-a", "key-b", "key-c"};

} // namespace

/// Plain calls that end the servers that run them, through two real gateways.
class gateway_crash_containment_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_crash_containment_test);
    CPPUNIT_TEST(repeated_call_is_refused_by_gateways_that_saw_no_crash);
    CPPUNIT_TEST(repeated_call_is_refused_after_all_gateways_were_killed);
    CPPUNIT_TEST(equal_calls_of_several_teams_are_contained);
    CPPUNIT_TEST(caller_that_leaves_before_the_crash_does_not_hide_it);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against findings that stay with the gateway that made them.
    void repeated_call_is_refused_by_gateways_that_saw_no_crash()
    {
        gateway_fleet fleet({.engines = 1, .services = upstreams});
        prepare(fleet);
        // A call may also meet the end of a server that the one before has crashed.
        for (int i = 0; crashed(fleet) < 3; ++i) {
            CPPUNIT_ASSERT(i < 10);
            send(fleet, 0, bad_call(fleet, i, keys[0]));
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        for (int i = 10; i < 15; ++i) {
            const auto reply = send(fleet, 1, bad_call(fleet, i, keys[0]));
            CPPUNIT_ASSERT_EQUAL(503U, reply.status);
        }
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, crashed(fleet));
    }

    // Guards against findings that end with the gateways: the same call would crash three servers
    // more.
    void repeated_call_is_refused_after_all_gateways_were_killed()
    {
        gateway_fleet fleet({.engines = 1, .services = upstreams});
        prepare(fleet);
        for (int i = 0; crashed(fleet) < 3; ++i) {
            CPPUNIT_ASSERT(i < 10);
            send(fleet, 0, bad_call(fleet, i, keys[0]));
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        for (auto& gateway : fleet.gateways) {
            gateway.process->kill();
        }
        for (auto& gateway : fleet.gateways) {
            gateway.restart();
        }
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(
            wait_until([&] { return is_served(fleet, 0, "s0") && is_served(fleet, 1, "s1"); }));
        for (int i = 10; i < 20; ++i) {
            const auto reply =
                send(fleet, static_cast<std::size_t>(i) % 2, bad_call(fleet, i, keys[0]));
            CPPUNIT_ASSERT_EQUAL(503U, reply.status);
        }
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, crashed(fleet));
    }

    // Guards against evidence that is kept by team: each of them would end three servers.
    void equal_calls_of_several_teams_are_contained()
    {
        gateway_fleet fleet({.engines = 1, .services = upstreams});
        prepare(fleet);
        for (int i = 0; i < 16; ++i) {
            const auto number = static_cast<std::size_t>(i);
            send(fleet, number % 2, bad_call(fleet, i, keys[number % keys.size()]));
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        CPPUNIT_ASSERT(crashed(fleet) <= most_crashes);
        CPPUNIT_ASSERT(wait_until(
            [&] { return send(fleet, 1, fleet.make_call("/safe/x", "harmless")).status == 200; }));
    }

    // Guards against crashes that are blamed on nothing, as the connection was closed before.
    void caller_that_leaves_before_the_crash_does_not_hide_it()
    {
        gateway_fleet fleet({.engines = 1, .services = upstreams});
        prepare(fleet, 200);
        for (int i = 0; i < 6; ++i) {
            const auto before = crashed(fleet);
            const auto gateway = static_cast<std::size_t>(i) % 2;
            const auto left = send_call(fleet.gateways[gateway].address,
                                        bad_call(fleet, i, keys[0]), std::chrono::milliseconds(60));
            if (!left.ok()) {
                CPPUNIT_ASSERT(wait_until([&] { return crashed(fleet) > before; }));
            }
            // Sound calls find that the server has ended.
            for (int sound = 0; sound < 60; ++sound) {
                const auto id = fmt::format("s{}-{}", i, sound);
                CPPUNIT_ASSERT_EQUAL(200U,
                                     send(fleet, gateway, fleet.make_call("/safe/x", id)).status);
            }
        }
        CPPUNIT_ASSERT(crashed(fleet) <= most_crashes);
    }

private:
    static void prepare(gateway_fleet& fleet, int crash_after_ms = 0)
    {
        CPPUNIT_ASSERT(fleet.change_config([](nlohmann::json& config) {
            for (const auto& key : keys) {
                auto team = config["tenants"][0];
                team["name"] = "team of " + key;
                team["api_keys"] = {key};
                config["tenants"].push_back(team);
            }
            config["tenants"].erase(0);
        }));
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        for (const auto& service : fleet.services) {
            const nlohmann::json faults{{"crash_on", "ends servers"},
                                        {"crash_after_ms", crash_after_ms}};
            const auto reply = send_call(service.address, {"POST", "/faults", {}, faults.dump()});
            CPPUNIT_ASSERT(reply.ok() && reply->status == 200);
        }
        for (const auto& gateway : fleet.gateways) {
            auto call = fleet.make_call("/safe/x", "w-" + gateway.id);
            call.headers["Authorization"] = "Token " + keys.back();
            CPPUNIT_ASSERT(wait_until([&] {
                const auto reply = send_call(gateway.address, call);
                return reply.ok() && reply->status == 200;
            }));
            // They learn of each other from the sidecar.
            CPPUNIT_ASSERT(wait_until([&] {
                const auto status = send_call(gateway.admin, {"GET", "/status", {}, {}});
                return nlohmann::json::parse(status->body)["gateways"] == 2;
            }));
        }
    }

    static http_call bad_call(const gateway_fleet& fleet, int number, const std::string& key)
    {
        auto call = fleet.make_call("/unsafe/x", fmt::format("k{}", number));
        call.headers["Authorization"] = "Token " + key;
        call.body = "this ends servers";
        return call;
    }

    static bool is_served(const gateway_fleet& fleet, std::size_t gateway, const std::string& id)
    {
        auto call = fleet.make_call("/safe/x", id);
        call.headers["Authorization"] = "Token " + keys.back();
        return send(fleet, gateway, call).status == 200;
    }

    static std::ptrdiff_t crashed(const gateway_fleet& fleet)
    {
        return std::ranges::count_if(
            fleet.services, [](const auto& service) { return !service.process->running(); });
    }

    // An unreachable gateway gives status 0.
    static http_reply send(const gateway_fleet& fleet, std::size_t gateway, const http_call& call)
    {
        auto reply = send_call(fleet.gateways[gateway].address, call);
        return reply.ok() ? *std::move(reply) : http_reply{};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_crash_containment_test);

} // namespace snipespar::testing
