#include "process/support/gateway_fleet.h"
#include "process/support/process_memory.h"
#include "process/support/raw_caller.h"
#include "process/support/wait_until.h"

#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace snipespar::testing {

namespace {

constexpr std::size_t large_body_bytes = 4UL * 1024 * 1024;
// The largest body that the stand-in takes, and a little less.
constexpr std::size_t accepted_body_bytes = 900UL * 1024;
constexpr std::size_t large_answer_bytes = 900UL * 1024;
// What a gateway is told by default that it may use.
constexpr long memory_limit_kb = 256L * 1024;

bool is_served(const gateway_fleet& fleet, const std::string& path, const std::string& id)
{
    const auto reply = send_call(fleet.gateways.front().address, fleet.make_call(path, id));
    return reply.ok() && reply->status == 200;
}

std::string to_text(const http_call& call)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\nContent-Length: {}\r\n", call.method,
                                   call.target, call.body.size());
    for (const auto& [name, value] : call.headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    return text + "\r\n" + call.body;
}

void assert_memory(const fleet_member& gateway)
{
    const auto used = peak_memory_kb(*gateway.process);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} kB", used),
                           !is_memory_comparable || used <= memory_limit_kb);
    CPPUNIT_ASSERT(gateway.process->running());
}

} // namespace

/// Callers that together ask a gateway to hold more than its host has memory.
class gateway_memory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_memory_test);
    CPPUNIT_TEST(large_bodies_do_not_exceed_the_memory_of_the_host);
    CPPUNIT_TEST(answers_that_nobody_reads_do_not_exceed_the_memory_of_the_host);
    CPPUNIT_TEST(sound_answers_are_served_beside_endless_ones);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a gateway that is killed for its memory while many callers send large bodies.
    void large_bodies_do_not_exceed_the_memory_of_the_host()
    {
        constexpr int callers = 100;
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(fleet.change_config([](nlohmann::json& config) {
            config["limits"]["max_body_bytes"] = 2 * large_body_bytes;
            config["routes"][1]["path_prefix"] = "/unsafe/new/";
        }));
        CPPUNIT_ASSERT(wait_until([&] { return is_served(fleet, "/unsafe/new/x", "w"); }));
        const auto& gateway = fleet.gateways.front();
        auto call = fleet.make_call("/unsafe/new/x", "b");
        call.body = std::string(large_body_bytes, 'x');
        auto text = to_text(call);
        text.pop_back();
        std::vector<std::unique_ptr<raw_caller>> open;
        open.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            open.push_back(std::make_unique<raw_caller>(gateway.address));
            // The gateway may refuse it before it is sent.
            open.back()->send(text);
        }
        CPPUNIT_ASSERT(is_served(fleet, "/unsafe/new/x", "small"));
        assert_memory(gateway);
        CPPUNIT_ASSERT(gateway.process->output().find("memory_used_up") != std::string::npos);
        open.clear();
        CPPUNIT_ASSERT(wait_until([&] {
            auto again = fleet.make_call("/unsafe/new/x", "again");
            again.body = std::string(accepted_body_bytes, 'x');
            const auto reply = send_call(gateway.address, again);
            return reply.ok() && reply->status == 200;
        }));
    }

    // Guards against a gateway that is killed for its memory while many callers do not read.
    void answers_that_nobody_reads_do_not_exceed_the_memory_of_the_host()
    {
        constexpr int callers = 900;
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& gateway = fleet.gateways.front();
        const auto set_answer = [&](std::size_t bytes) {
            const auto reply =
                send_call(fleet.services[0].address,
                          {"POST", "/faults", {}, fmt::format(R"({{"answer_bytes": {}}})", bytes)});
            return reply.ok() && reply->status == 200;
        };
        CPPUNIT_ASSERT(set_answer(large_answer_bytes));
        std::vector<std::unique_ptr<raw_caller>> open;
        open.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            open.push_back(std::make_unique<raw_caller>(gateway.address));
            open.back()->send(to_text(fleet.make_call("/safe/x", fmt::format("a{}", i))));
        }
        CPPUNIT_ASSERT(set_answer(0));
        // Callers that do not read are cut while memory is scarce.
        CPPUNIT_ASSERT(wait_until([&] { return is_served(fleet, "/safe/x", "small"); }));
        assert_memory(gateway);
    }

    // Guards against a faulty upstream whose endless answers take the memory for those of others.
    void sound_answers_are_served_beside_endless_ones()
    {
        constexpr int callers = 30;
        // The stand-in ends what is endless after a gigabyte.
        constexpr int rounds = 4;
        constexpr int calls_per_round = 10;
        gateway_fleet fleet({.gateways = 1,
                             .engines = 1,
                             .services = 1,
                             .gateway_arguments = {"--memory-limit=160MiB"}});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& gateway = fleet.gateways.front();
        CPPUNIT_ASSERT(wait_until([&] { return is_served(fleet, "/stream/x", "first"); }));
        CPPUNIT_ASSERT(is_served(fleet, "/safe/x", "usual"));
        const auto set =
            send_call(fleet.services[0].address, {"POST", "/faults", {}, R"({"endless": "body"})"});
        CPPUNIT_ASSERT(set.ok() && set->status == 200);
        for (int round = 0; round < rounds; ++round) {
            std::vector<std::unique_ptr<raw_caller>> open;
            for (int i = 0; i < callers; ++i) {
                open.push_back(std::make_unique<raw_caller>(gateway.address));
                open.back()->send(
                    to_text(fleet.make_call("/safe/x", fmt::format("e{}-{}", round, i))));
            }
            for (int i = 0; i < calls_per_round; ++i) {
                const auto id = fmt::format("s{}-{}", round, i);
                const auto reply = send_call(gateway.address, fleet.make_call("/stream/x", id));
                CPPUNIT_ASSERT(reply.ok());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id + "\n" + gateway.process->output(), 200U,
                                             reply->status);
            }
        }
        constexpr long limit_kb = 160L * 1024;
        const auto used = peak_memory_kb(*gateway.process);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} kB", used),
                               !is_memory_comparable || used <= limit_kb);
        CPPUNIT_ASSERT(gateway.process->running());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_memory_test);

} // namespace snipespar::testing
