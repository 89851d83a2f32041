#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"

#include <algorithm>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <thread>
#include <vector>

namespace snipespar::testing {

namespace {

using std::chrono::milliseconds;

constexpr double rate_limit = 4;
// The users' rule: from 3 s after the limit was first named, at most one and a half times what it
// allows in 4 s, and five more.
constexpr std::int64_t grace_ms = 3000;
constexpr std::int64_t window_ms = 4000;
constexpr std::ptrdiff_t most_in_window = 29;

// Largest number of runs within the window, from the end of the grace period on.
std::ptrdiff_t most_runs(const nlohmann::json& record)
{
    std::vector<std::int64_t> times;
    for (const auto& run : record["runs"]) {
        times.push_back(run["at_ms"].get<std::int64_t>());
    }
    std::ptrdiff_t most = 0;
    for (const auto from : times) {
        if (from >= times.front() + grace_ms) {
            most = std::max(most, std::ranges::count_if(times, [&](const auto at) {
                                return at >= from && at < from + window_ms;
                            }));
        }
    }
    return most;
}

} // namespace

/// Upstreams that name a request rate in their answers, behind three real gateways.
class gateway_rate_limit_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_rate_limit_test);
    CPPUNIT_TEST(named_rate_holds_for_all_gateways_together);
    CPPUNIT_TEST(refused_calls_have_not_run_and_are_told_when_to_return);
    CPPUNIT_TEST(withdrawn_limit_no_longer_holds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a limit that is ignored, or applied by each gateway for itself.
    void named_rate_holds_for_all_gateways_together()
    {
        gateway_fleet fleet({.gateways = 3, .engines = 1, .services = 2});
        prepare(fleet, fleet.services[0]);
        const int sent = send_for(fleet, milliseconds(8000), "a");
        CPPUNIT_ASSERT(most_runs(fleet.runs(fleet.services[0])) <= most_in_window);
        // The other server takes what is beyond the limit.
        const auto limited = fleet.runs(fleet.services[0])["runs"].size();
        const auto other = fleet.runs(fleet.services[1])["runs"].size();
        CPPUNIT_ASSERT(limited > 0);
        CPPUNIT_ASSERT(limited + other >= static_cast<std::size_t>(sent));
    }

    void refused_calls_have_not_run_and_are_told_when_to_return()
    {
        gateway_fleet fleet({.gateways = 3, .engines = 1, .services = 1});
        prepare(fleet, fleet.services[0]);
        int refused = 0;
        for (int i = 0; i < 120; ++i) {
            const auto id = fmt::format("r{}", i);
            const auto reply = send(fleet, i, id);
            CPPUNIT_ASSERT(reply.status == 200 || reply.status == 503);
            if (reply.status == 503) {
                ++refused;
                CPPUNIT_ASSERT(std::stod(reply.header("retry-after")) > 0);
                CPPUNIT_ASSERT(fleet.runs(fleet.services[0]).dump().find('"' + id + '"') ==
                               std::string::npos);
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        CPPUNIT_ASSERT(refused > 60);
    }

    void withdrawn_limit_no_longer_holds()
    {
        gateway_fleet fleet({.gateways = 3, .engines = 1, .services = 1});
        prepare(fleet, fleet.services[0]);
        send_for(fleet, milliseconds(1000), "b");
        set_limit(fleet.services[0], 0);
        // Each gateway learns it from the first answer that it gets.
        for (int gateway = 0; gateway < 3; ++gateway) {
            CPPUNIT_ASSERT(wait_until([&] {
                for (int i = 0; i < 10; ++i) {
                    if (send(fleet, gateway, fmt::format("c{}-{}", gateway, i)).status != 200) {
                        return false;
                    }
                }
                return true;
            }));
        }
    }

private:
    static void set_limit(const fleet_member& upstream, double limit)
    {
        const nlohmann::json faults{{"rate_limit", limit}};
        const auto reply = send_call(upstream.address, {"POST", "/faults", {}, faults.dump()});
        CPPUNIT_ASSERT(reply.ok() && reply->status == 200);
    }

    static void prepare(gateway_fleet& fleet, const fleet_member& limited)
    {
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        for (const auto& gateway : fleet.gateways) {
            CPPUNIT_ASSERT(wait_until([&] {
                const auto status = send_call(gateway.admin, {"GET", "/status", {}, {}});
                return nlohmann::json::parse(status->body)["gateways"] == 3;
            }));
        }
        set_limit(limited, rate_limit);
        for (int gateway = 0; gateway < 3; ++gateway) {
            send(fleet, gateway, fmt::format("told-{}", gateway));
        }
    }

    // Sends calls to the gateways in turn, most of them to the first. Returns how many were served.
    static int send_for(const gateway_fleet& fleet, milliseconds time, const std::string& prefix)
    {
        int served = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
            const int gateway = i % 4 < 2 ? 0 : i % 4 - 1;
            served += send(fleet, gateway, fmt::format("{}{}", prefix, i)).status == 200 ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(10));
        }
        return served;
    }

    // An unreachable gateway gives status 0.
    static http_reply send(const gateway_fleet& fleet, int number, const std::string& id)
    {
        const auto gateway = static_cast<std::size_t>(number) % fleet.gateways.size();
        auto reply = send_call(fleet.gateways[gateway].address, fleet.make_call("/unsafe/x", id));
        return reply.ok() ? *std::move(reply) : http_reply{};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_rate_limit_test);

} // namespace snipespar::testing
