#include "process/support/fleet.h"
#include "process/support/wait_until.h"
#include "support/http_probe.h"
#include "support/sse_stream.h"

#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace snipespar::testing {

namespace {

using clock = std::chrono::steady_clock;

constexpr const char* narrow_key = "trial-narrow";
constexpr int narrow_rate = 100;
constexpr int narrow_burst = 200;

// Tokens of a complete answer, as counted by the engine.
int tokens_of(const http_reply& reply)
{
    const auto usage = nlohmann::json::parse(reply.body).at("usage");
    return usage.at("prompt_tokens").get<int>() + usage.at("completion_tokens").get<int>();
}

int allowed_since(clock::time_point start)
{
    const std::chrono::duration<double> elapsed = clock::now() - start;
    return narrow_burst + static_cast<int>(elapsed.count() * narrow_rate);
}

// Sends calls of one team back to back for `time`; returns the tokens received.
int flood(const cli::endpoint& entry, std::chrono::milliseconds time, int& refusals)
{
    int received = 0;
    const auto end = clock::now() + time;
    while (clock::now() < end) {
        const auto reply = send_call(entry, completion_call(narrow_key, "a1@v1", 20));
        CPPUNIT_ASSERT(reply.ok());
        if (reply->status == 200) {
            received += tokens_of(*reply);
            continue;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply->body, 429U, reply->status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), reply->header("snipespar-run"));
        CPPUNIT_ASSERT(!reply->header("retry-after").empty());
        ++refusals;
    }
    return received;
}

} // namespace

/// Budgets of teams at one real entry.
class team_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(team_budget_test);
    CPPUNIT_TEST(flooding_team_gets_its_rate_and_burst_and_no_more);
    CPPUNIT_TEST(request_above_the_burst_is_refused_permanently);
    CPPUNIT_TEST(paused_entry_delivers_the_rest_and_no_more_than_the_bound);
    CPPUNIT_TEST_SUITE_END();

public:
    void flooding_team_gets_its_rate_and_burst_and_no_more()
    {
        fleet test;
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        int refusals = 0;
        const auto start = clock::now();
        const int received = flood(test.entry().address, std::chrono::seconds(2), refusals);
        CPPUNIT_ASSERT(received <= allowed_since(start));
        CPPUNIT_ASSERT(received >= narrow_burst);
        CPPUNIT_ASSERT(refusals > 0);
    }

    void request_above_the_burst_is_refused_permanently()
    {
        fleet test;
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        const auto reply =
            send_call(test.entry().address, completion_call(narrow_key, "a1@v1", narrow_burst + 1));
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT_EQUAL(400U, reply->status);
        CPPUNIT_ASSERT(reply->body.find("larger_than_burst") != std::string::npos);
        CPPUNIT_ASSERT(reply->header("retry-after").empty());
    }

    void paused_entry_delivers_the_rest_and_no_more_than_the_bound()
    {
        fleet test;
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        int refusals = 0;
        const auto start = clock::now();
        auto stream =
            sse_stream::open(test.entry().address, completion_call(narrow_key, "a1@v1", 150, true));
        CPPUNIT_ASSERT(stream.ok());
        CPPUNIT_ASSERT(stream->next().ok());
        test.entry().process->signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        test.entry().process->signal(SIGCONT);
        int received = 1;
        std::string last;
        for (auto event = stream->next(); event.ok() && *event; event = stream->next()) {
            last = **event;
            received += last.find("token_index") != std::string::npos ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), last);
        CPPUNIT_ASSERT_EQUAL(150, received);
        received += flood(test.entry().address, std::chrono::seconds(1), refusals);
        CPPUNIT_ASSERT(received <= allowed_since(start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(team_budget_test);

} // namespace snipespar::testing
