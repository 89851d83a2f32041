#include "process/support/child_process.h"
#include "process/support/free_port.h"
#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace snipespar::testing {

namespace {

/// What the command printed, on either output, and its exit code.
struct printed {
    int code = -1;
    std::string text;
};

printed explain(const std::string& gateway, const std::vector<std::string>& more)
{
    program_start start{"snipespar", {"explain", "--gateway=" + gateway}, {}};
    start.arguments.insert(start.arguments.end(), more.begin(), more.end());
    child_process process(start);
    const auto code = process.wait();
    return {code.value_or(-1), process.output()};
}

std::vector<std::string> stream_of(const std::string& adapter)
{
    return {"--request-host=a.example", "--request-path=/stream/x", "--model=base/" + adapter,
            "--team=shops", "--prompt-tokens=100"};
}

} // namespace

/// The command that tells where a request would go, with a real gateway.
class gateway_explain_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_explain_test);
    CPPUNIT_TEST(request_goes_where_the_command_says);
    CPPUNIT_TEST(questions_without_an_answer_say_why);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an explanation that leads elsewhere than the request after it.
    void request_goes_where_the_command_says()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 3, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto gateway = fleet.gateways[0].admin.str();
        // Of the first request the gateway knows no engine that has the adapter, and of the second
        // the one that has loaded it for the first.
        for (const std::string action : {"load", "send"}) {
            nlohmann::json decision;
            CPPUNIT_ASSERT(wait_until([&] {
                auto arguments = stream_of("a7");
                arguments.emplace_back("--format=json");
                const auto answer = explain(gateway, arguments);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.text, 0, answer.code);
                const auto service = nlohmann::json::parse(answer.text)["services"][0];
                decision = service["decision"];
                return decision["action"] == action && !service["standings"].contains("unreported");
            }));
            CPPUNIT_ASSERT(!decision["depends_on_draw"].get<bool>());
            const auto table = explain(gateway, stream_of("a7"));
            CPPUNIT_ASSERT_EQUAL(0, table.code);
            const auto target = decision["upstream"].get<std::string>();
            CPPUNIT_ASSERT_MESSAGE(table.text, table.text.find("service llm (share 1.00): " +
                                                               action) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(table.text, table.text.find(target) != std::string::npos);
            auto call = fleet.make_call("/stream/x", "after-" + action);
            call.headers["Model"] = "base/a7";
            const auto reply = send_call(fleet.gateways[0].address, call);
            CPPUNIT_ASSERT(reply.ok());
            CPPUNIT_ASSERT_EQUAL(200U, reply->status);
            for (const auto& engine : fleet.engines) {
                const bool has_run =
                    fleet.runs(engine).dump().find("after-" + action) != std::string::npos;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(engine.id, engine.id == target, has_run);
            }
        }
    }

    void questions_without_an_answer_say_why()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 1, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto gateway = fleet.gateways[0].admin.str();
        const auto unknown =
            explain(gateway, {"--request-host=b.example", "--request-path=/nowhere"});
        CPPUNIT_ASSERT_EQUAL(3, unknown.code);
        CPPUNIT_ASSERT_EQUAL(
            gateway + ": path: no route of host \"b.example\" matches path \"/nowhere\"\n",
            unknown.text);
        // A sidecar serves the same paths but this one.
        CPPUNIT_ASSERT(wait_until(
            [&] { return send_call(fleet.sidecars[0].admin, {"GET", "/livez", {}, {}}).ok(); }));
        const auto sidecar = explain(fleet.sidecars[0].admin.str(), stream_of("a1"));
        CPPUNIT_ASSERT_EQUAL(1, sidecar.code);
        const auto nobody = free_address().str();
        const auto silent = explain(nobody, stream_of("a1"));
        CPPUNIT_ASSERT_EQUAL(4, silent.code);
        CPPUNIT_ASSERT(silent.text.starts_with(nobody + ": the gateway does not answer: "));
        CPPUNIT_ASSERT_EQUAL(silent.text.size() - 1, silent.text.find('\n'));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_explain_test);

} // namespace snipespar::testing
