#include "process/support/fleet.h"
#include "process/support/wait_until.h"
#include "support/http_probe.h"
#include "support/sse_stream.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace snipespar::testing {

namespace {

constexpr const char* north_key = "trial-north";

http_call reservation(const std::string& method, const std::string& body)
{
    http_call request;
    request.method = method;
    request.target = "/stock/reservations";
    request.headers = {{"Authorization", std::string("Bearer ") + north_key}};
    request.body = body;
    return request;
}

http_reply call(const cli::endpoint& peer, const http_call& request)
{
    auto reply = send_call(peer, request);
    CPPUNIT_ASSERT_MESSAGE(reply.ok() ? "" : std::string(reply.status().message()), reply.ok());
    return *std::move(reply);
}

void set_faults(const upstream_pair& pair, const std::string& faults)
{
    http_call request;
    request.method = "POST";
    request.target = "/faults";
    request.body = faults;
    CPPUNIT_ASSERT_EQUAL(200U, call(pair.upstream_address, request).status);
}

nlohmann::json record(const upstream_pair& pair, const std::string& text = "")
{
    http_call request;
    request.target = "/record?find=" + text;
    return nlohmann::json::parse(call(pair.upstream_address, request).body);
}

int total(const upstream_pair& pair)
{
    return record(pair).at("total").get<int>();
}

} // namespace

/// Kills and stops agent and service processes at various steps of a call.
class request_faults_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_faults_test);
    CPPUNIT_TEST(killed_agent_leaves_a_non_idempotent_call_unknown_and_run_once);
    CPPUNIT_TEST(killed_agent_moves_an_idempotent_call_elsewhere);
    CPPUNIT_TEST(stopped_agent_never_makes_a_call_run_twice);
    CPPUNIT_TEST(killed_agents_give_a_correct_not_run);
    CPPUNIT_TEST(killed_service_is_never_reported_as_not_run);
    CPPUNIT_TEST(leaving_agent_completes_running_calls_and_gets_no_new_ones);
    CPPUNIT_TEST(killed_engine_loses_and_doubles_no_token);
    CPPUNIT_TEST_SUITE_END();

public:
    void killed_agent_leaves_a_non_idempotent_call_unknown_and_run_once()
    {
        fleet test(two_services());
        CPPUNIT_ASSERT_MESSAGE(test.output(), both_services_respond(test));
        const int before = executions(test);
        set_all_faults(test, R"({"delay_before_ms": 700})");
        auto answer = send(test, reservation("POST", "kill-agent"));
        upstream_pair& receiver = wait_for_receiver(test, "kill-agent");
        receiver.agent->kill();
        const auto reply = answer.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 502U, reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), reply.header("snipespar-run"));
        CPPUNIT_ASSERT(reply.header("retry-after").empty());
        CPPUNIT_ASSERT(!record(other_than(test, receiver), "kill-agent").at("found").get<bool>());
        CPPUNIT_ASSERT(executions(test) - before <= 1);
    }

    void killed_agent_moves_an_idempotent_call_elsewhere()
    {
        fleet test(two_services());
        CPPUNIT_ASSERT_MESSAGE(test.output(), both_services_respond(test));
        set_all_faults(test, R"({"delay_before_ms": 700})");
        auto answer = send(test, reservation("GET", "move-me"));
        wait_for_receiver(test, "move-me").agent->kill();
        const auto reply = answer.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200U, reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), reply.header("snipespar-run"));
    }

    void stopped_agent_never_makes_a_call_run_twice()
    {
        fleet test(two_services());
        CPPUNIT_ASSERT_MESSAGE(test.output(), both_services_respond(test));
        const int before = executions(test);
        for (std::size_t i = 0; i < services; ++i) {
            test.service(i).agent->signal(SIGSTOP);
        }
        const auto reply = call(test.entry().address, reservation("POST", "stopped"));
        for (std::size_t i = 0; i < services; ++i) {
            test.service(i).agent->signal(SIGCONT);
        }
        CPPUNIT_ASSERT_MESSAGE(reply.body, reply.status >= 500);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), reply.header("snipespar-run"));
        CPPUNIT_ASSERT_MESSAGE(test.output(), both_services_respond(test));
        const int ready_calls = 1;
        CPPUNIT_ASSERT(executions(test) - before - ready_calls <= 1 + max_ready_calls);
        int receivers = 0;
        for (std::size_t i = 0; i < services; ++i) {
            receivers += record(test.service(i), "stopped").at("found").get<bool>() ? 1 : 0;
        }
        CPPUNIT_ASSERT(receivers <= 1);
    }

    void killed_agents_give_a_correct_not_run()
    {
        fleet test(two_services());
        CPPUNIT_ASSERT_MESSAGE(test.output(), both_services_respond(test));
        const int before = executions(test);
        for (std::size_t i = 0; i < services; ++i) {
            test.service(i).agent->kill();
        }
        http_reply reply;
        CPPUNIT_ASSERT(wait_until([&] {
            reply = call(test.entry().address, reservation("POST", "dead-agents"));
            return reply.header("snipespar-run") == "not-run";
        }));
        CPPUNIT_ASSERT_EQUAL(503U, reply.status);
        CPPUNIT_ASSERT(!reply.header("retry-after").empty());
        CPPUNIT_ASSERT_EQUAL(before, executions(test));
    }

    void killed_service_is_never_reported_as_not_run()
    {
        fleet test(two_services());
        CPPUNIT_ASSERT_MESSAGE(test.output(), both_services_respond(test));
        set_all_faults(test, R"({"silent_after": true})");
        auto answer = send(test, reservation("POST", "kill-service"));
        upstream_pair& receiver = wait_for_receiver(test, "kill-service");
        const int other_total = total(other_than(test, receiver));
        receiver.upstream->kill();
        const auto reply = answer.get();
        CPPUNIT_ASSERT_MESSAGE(reply.body, reply.status >= 500);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), reply.header("snipespar-run"));
        CPPUNIT_ASSERT_EQUAL(other_total, total(other_than(test, receiver)));
    }

    void leaving_agent_completes_running_calls_and_gets_no_new_ones()
    {
        fleet test(two_services());
        CPPUNIT_ASSERT_MESSAGE(test.output(), both_services_respond(test));
        set_all_faults(test, R"({"delay_before_ms": 700, "runs": 1})");
        auto answer = send(test, reservation("POST", "in-flight"));
        upstream_pair& receiver = wait_for_receiver(test, "in-flight");
        receiver.agent->signal(SIGTERM);
        const auto first = answer.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(first.body, 200U, first.status);
        CPPUNIT_ASSERT(receiver.agent->wait().has_value());
        set_all_faults(test, "{}");
        const int calls_after_drain = total(receiver);
        for (int i = 0; i < 20; ++i) {
            const auto reply = call(test.entry().address, reservation("POST", "after-leave"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200U, reply.status);
        }
        CPPUNIT_ASSERT_EQUAL(calls_after_drain, total(receiver));
    }

    void killed_engine_loses_and_doubles_no_token()
    {
        fleet_options options;
        options.engines = 2;
        options.engine_arguments = {"--token-us=10000"};
        fleet test(options);
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        constexpr int tokens = 60;
        const auto request = completion_call(north_key, "a1@v1", tokens, true);
        const auto uninterrupted = texts(test, request, tokens, -1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{tokens}, uninterrupted.size());
        constexpr int kill_at = 20;
        CPPUNIT_ASSERT(uninterrupted == texts(test, request, tokens, kill_at));
    }

private:
    static constexpr std::size_t services = 2;
    /// Upper bound on the failed calls that `wait_until_ready` may have sent.
    static constexpr int max_ready_calls = 1000;

    static fleet_options two_services()
    {
        fleet_options options;
        options.engines = 0;
        options.services = services;
        return options;
    }

    // Waits until each service has received a call through the entry.
    static bool both_services_respond(fleet& test)
    {
        http_call open;
        open.target = "/open/ready";
        return test.wait_until_ready() && wait_until([&] {
                   call(test.entry().address, open);
                   return total(test.service(0)) > 0 && total(test.service(1)) > 0;
               });
    }

    static void set_all_faults(fleet& test, const std::string& faults)
    {
        for (std::size_t i = 0; i < services; ++i) {
            set_faults(test.service(i), faults);
        }
    }

    static int executions(fleet& test)
    {
        int sum = 0;
        for (std::size_t i = 0; i < services; ++i) {
            sum += total(test.service(i));
        }
        return sum;
    }

    static std::future<http_reply> send(fleet& test, const http_call& request)
    {
        return std::async(std::launch::async, [address = test.entry().address, request] {
            auto reply = send_call(address, request);
            return reply.ok() ? *reply : http_reply{};
        });
    }

    // Waits until a service has received the text, and returns that service.
    static upstream_pair& wait_for_receiver(fleet& test, const std::string& text)
    {
        std::size_t receiver = services;
        const bool found = wait_until([&] {
            for (std::size_t i = 0; i < services; ++i) {
                if (record(test.service(i), text).at("found").get<bool>()) {
                    receiver = i;
                }
            }
            return receiver < services;
        });
        CPPUNIT_ASSERT_MESSAGE(test.output(), found);
        return test.service(receiver);
    }

    static upstream_pair& other_than(fleet& test, const upstream_pair& pair)
    {
        return test.service(test.service(0).id == pair.id ? 1 : 0);
    }

    // Returns the text of each token; kills the generating engine before token `kill_at`.
    static std::vector<std::string> texts(fleet& test, const http_call& request, int tokens,
                                          int kill_at)
    {
        auto stream = sse_stream::open(test.entry().address, request);
        CPPUNIT_ASSERT(stream.ok());
        std::vector<std::string> list;
        for (int i = 0; i < tokens; ++i) {
            if (i == kill_at) {
                busy_engine(test).upstream->kill();
            }
            const auto event = stream->next();
            CPPUNIT_ASSERT_MESSAGE(test.output(), event.ok() && event->has_value());
            const auto json = nlohmann::json::parse(**event);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(**event, i, json.value("token_index", -1));
            list.push_back(json.at("choices").at(0).at("text").get<std::string>());
        }
        return list;
    }

    static upstream_pair& busy_engine(fleet& test)
    {
        for (std::size_t i = 0; i < 2; ++i) {
            http_call request;
            request.target = "/load";
            const auto load =
                nlohmann::json::parse(call(test.engine(i).upstream_address, request).body);
            if (load.at("running").get<int>() > 0) {
                return test.engine(i);
            }
        }
        CPPUNIT_FAIL("no engine is running");
        return test.engine();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_faults_test);

} // namespace snipespar::testing
