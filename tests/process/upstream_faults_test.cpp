#include "process/support/fleet.h"
#include "process/support/wait_until.h"
#include "support/http_probe.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>

namespace snipespar::testing {

namespace {

constexpr const char* crashing_prompt = "this prompt crashes engines";

http_reply call(const cli::endpoint& peer, const http_call& request)
{
    auto reply = send_call(peer, request);
    CPPUNIT_ASSERT_MESSAGE(reply.ok() ? "" : std::string(reply.status().message()), reply.ok());
    return *std::move(reply);
}

http_call completion(const std::string& model, const std::string& prompt)
{
    http_call request = completion_call("trial-north", model, 3);
    auto body = nlohmann::json::parse(request.body);
    body["prompt"] = prompt;
    request.body = body.dump();
    return request;
}

void set_faults(const upstream_pair& pair, const nlohmann::json& faults)
{
    http_call request;
    request.method = "POST";
    request.target = "/faults";
    request.body = faults.dump();
    CPPUNIT_ASSERT_EQUAL(200U, call(pair.upstream_address, request).status);
}

} // namespace

/// Engines that crash, lose their adapters or fail to load, with real agents and entries.
class upstream_faults_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(upstream_faults_test);
    CPPUNIT_TEST(poison_request_takes_down_at_most_two_engines);
    CPPUNIT_TEST(engine_that_lost_its_adapters_reloads_them);
    CPPUNIT_TEST(failed_load_is_retried_and_never_served_by_another_adapter);
    CPPUNIT_TEST_SUITE_END();

public:
    void poison_request_takes_down_at_most_two_engines()
    {
        fleet_options options;
        options.engines = 4;
        options.entries = 2;
        fleet test(options);
        CPPUNIT_ASSERT(test.wait_until_ready());
        for (std::size_t i = 0; i < options.engines; ++i) {
            set_faults(test.engine(i), {{"crash_on", crashing_prompt}});
        }
        constexpr int repeats = 10;
        for (int i = 0; i < repeats; ++i) {
            const auto entry_address = test.entry(static_cast<std::size_t>(i) % 2).address;
            CPPUNIT_ASSERT(call(entry_address, completion("a1@v1", crashing_prompt)).status !=
                           200U);
        }
        std::size_t engines_running = 0;
        for (std::size_t i = 0; i < options.engines; ++i) {
            engines_running += test.engine(i).upstream->running() ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(test.output(), engines_running + 2 >= options.engines);
        CPPUNIT_ASSERT(wait_until([&] {
            return call(test.entry().address, completion("a1@v1", "harmless")).status == 200U;
        }));
    }

    void engine_that_lost_its_adapters_reloads_them()
    {
        fleet test;
        CPPUNIT_ASSERT(test.wait_until_ready());
        const auto before = call(test.entry().address, completion("a1@v2", "same"));
        CPPUNIT_ASSERT_EQUAL(200U, before.status);
        set_faults(test.engine(), {{"cold_restart", true}});
        CPPUNIT_ASSERT(wait_until([&] {
            const auto after = call(test.entry().address, completion("a1@v2", "same"));
            return after.status == 200U && text_of(after) == text_of(before);
        }));
    }

    void failed_load_is_retried_and_never_served_by_another_adapter()
    {
        fleet test;
        CPPUNIT_ASSERT(test.wait_until_ready());
        set_faults(test.engine(), {{"fail_loads", 3}});
        CPPUNIT_ASSERT(wait_until([&] {
            const auto reply = call(test.entry().address, completion("a1@v2", "x"));
            const auto body = nlohmann::json::parse(reply.body);
            if (reply.status != 200U) {
                CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                                     body["error"]["ran"].get<std::string>());
                return false;
            }
            CPPUNIT_ASSERT_EQUAL(std::string("a1@v2"), body["model"].get<std::string>());
            return true;
        }));
    }

private:
    static std::string text_of(const http_reply& reply)
    {
        return nlohmann::json::parse(reply.body)["choices"][0]["text"].get<std::string>();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_faults_test);

} // namespace snipespar::testing
