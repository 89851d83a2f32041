#include "process/support/fleet.h"
#include "process/support/wait_until.h"
#include "support/http_probe.h"
#include "support/sse_stream.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace snipespar::testing {

namespace {

constexpr const char* north_key = "trial-north";

http_reply call(const cli::endpoint& peer, const http_call& wanted)
{
    auto reply = send_call(peer, wanted);
    CPPUNIT_ASSERT_MESSAGE(reply.ok() ? "" : std::string(reply.status().message()), reply.ok());
    return *std::move(reply);
}

void set_faults(const cli::endpoint& stand_in, const std::string& faults)
{
    http_call wanted;
    wanted.method = "POST";
    wanted.target = "/faults";
    wanted.body = faults;
    CPPUNIT_ASSERT_EQUAL(200U, call(stand_in, wanted).status);
}

nlohmann::json record(const cli::endpoint& stand_in, const std::string& find = "")
{
    http_call wanted;
    wanted.target = "/record" + (find.empty() ? "" : "?find=" + find);
    return nlohmann::json::parse(call(stand_in, wanted).body);
}

http_call stock_call(const std::string& method, const std::string& body = "")
{
    http_call wanted;
    wanted.method = method;
    wanted.target = "/stock/reservations";
    wanted.headers = {{"Authorization", std::string("Bearer ") + north_key}};
    wanted.body = body;
    return wanted;
}

// Asserts a refusal with this status and code, and that it states that nothing ran.
void assert_not_run(const http_reply& reply, unsigned status, const std::string& code)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, status, reply.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), reply.header("snipespar-run"));
    const auto body = nlohmann::json::parse(reply.body);
    CPPUNIT_ASSERT_EQUAL(code, body.at("error").at("code").get<std::string>());
}

} // namespace

class whole_path_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(whole_path_test);
    CPPUNIT_TEST(completion_runs_on_the_adapter_asked_for);
    CPPUNIT_TEST(tokens_stream_whole_and_in_order);
    CPPUNIT_TEST(plain_service_gets_the_request_without_the_key);
    CPPUNIT_TEST(spans_and_metrics_name_the_request_but_not_the_key);
    CPPUNIT_TEST(bad_requests_are_refused_and_nothing_runs);
    CPPUNIT_TEST(malformed_http_is_refused_and_the_entry_keeps_serving);
    CPPUNIT_TEST(agent_with_a_wrong_secret_gets_no_requests);
    CPPUNIT_TEST(malformed_engine_output_is_never_forwarded);
    CPPUNIT_TEST(non_idempotent_call_runs_once_when_the_response_is_lost);
    CPPUNIT_TEST(graceful_stop_of_the_entry_interrupts_nothing);
    CPPUNIT_TEST(graceful_stop_of_the_agent_interrupts_nothing);
    CPPUNIT_TEST(second_signal_forces_the_stop_and_logs_it);
    CPPUNIT_TEST_SUITE_END();

public:
    void completion_runs_on_the_adapter_asked_for()
    {
        fleet test;
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        const auto reply = call(test.entry().address, completion_call(north_key, "a1@v2", 3));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200U, reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), reply.header("snipespar-run"));
        const auto body = nlohmann::json::parse(reply.body);
        CPPUNIT_ASSERT_EQUAL(std::string("a1@v2"), body.at("model").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(3, body.at("usage").at("completion_tokens").get<int>());
        // A bare adapter name resolves to the default version of the team's grant.
        const auto bare = call(test.entry().address, completion_call(north_key, "a1", 1));
        CPPUNIT_ASSERT_EQUAL(std::string("a1@v1"),
                             nlohmann::json::parse(bare.body).at("model").get<std::string>());
    }

    void tokens_stream_whole_and_in_order()
    {
        fleet test;
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        constexpr int tokens = 50;
        const auto wanted = completion_call(north_key, "a1@v1", tokens, true);
        auto stream = sse_stream::open(test.entry().address, wanted);
        CPPUNIT_ASSERT(stream.ok());
        CPPUNIT_ASSERT_EQUAL(200U, stream->status());
        std::vector<std::string> events;
        for (auto event = stream->next(); event.ok() && *event; event = stream->next()) {
            events.push_back(**event);
        }
        CPPUNIT_ASSERT(events.size() > tokens);
        CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), events.back());
        for (int i = 0; i < tokens; ++i) {
            const auto event = nlohmann::json::parse(events.at(static_cast<std::size_t>(i)));
            CPPUNIT_ASSERT_EQUAL(i, event.at("token_index").get<int>());
        }
    }

    void plain_service_gets_the_request_without_the_key()
    {
        fleet_options options;
        options.engines = 0;
        options.services = 1;
        fleet test(options);
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        const auto reply = call(test.entry().address, stock_call("POST", "one laptop"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200U, reply.status);
        const auto echoed = nlohmann::json::parse(reply.body);
        CPPUNIT_ASSERT_EQUAL(std::string("one laptop"), echoed.at("body").get<std::string>());
        const auto& service = test.service().upstream_address;
        CPPUNIT_ASSERT(record(service, "one").at("found").get<bool>());
        CPPUNIT_ASSERT(!record(service, north_key).at("found").get<bool>());
        CPPUNIT_ASSERT(test.output().find(north_key) == std::string::npos);
    }

    void spans_and_metrics_name_the_request_but_not_the_key()
    {
        // The plain service acts as the trace receiver: it records all bytes that it receives.
        child_process receiver({"service_stand_in", {}, {}});
        CPPUNIT_ASSERT(receiver.wait_for_output("\n"));
        const auto text = receiver.output();
        const auto port = std::stoul(text.substr(text.rfind(':') + 1));
        const cli::endpoint spans{"127.0.0.1", static_cast<std::uint16_t>(port)};
        fleet_options options;
        options.entry_arguments = {"--trace-endpoint=" + spans.str()};
        fleet test(options);
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());

        const std::string trace = "0af7651916cd43dd8448eb211c80319c";
        auto wanted = completion_call(north_key, "a1@v1", 1);
        wanted.headers["traceparent"] = "00-" + trace + "-b7ad6b7169203331-01";
        CPPUNIT_ASSERT_EQUAL(200U, call(test.entry().address, wanted).status);
        CPPUNIT_ASSERT(wait_until([&] { return record(spans, trace).at("found").get<bool>(); }));
        CPPUNIT_ASSERT(!record(spans, north_key).at("found").get<bool>());

        http_call admin;
        admin.target = "/readyz";
        CPPUNIT_ASSERT_EQUAL(200U, call(test.entry().admin, admin).status);
        for (const std::string path : {"/metrics", "/status"}) {
            admin.target = path;
            const auto shown = call(test.entry().admin, admin);
            CPPUNIT_ASSERT_EQUAL(200U, shown.status);
            CPPUNIT_ASSERT(!shown.body.empty());
            CPPUNIT_ASSERT(shown.body.find(north_key) == std::string::npos);
        }
    }

    void bad_requests_are_refused_and_nothing_runs()
    {
        fleet_options options;
        options.entry_arguments = {"--max-body=4KiB"};
        fleet test(options);
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        const auto& entry = test.entry().address;
        const auto before = record(test.engine().upstream_address).at("executions");

        auto no_key = completion_call(north_key, "a1@v1", 1);
        no_key.headers.erase("Authorization");
        CPPUNIT_ASSERT_EQUAL(401U, call(entry, no_key).status);
        CPPUNIT_ASSERT_EQUAL(401U, call(entry, completion_call("wrong", "a1@v1", 1)).status);
        // Another team's adapter, an adapter that does not exist, a version that is not granted
        // and one that does not exist.
        for (const std::string model : {"a2@v1", "a9@v1", "a1@v3", "a1@v9", "a1@", "@v1", ""}) {
            const auto reply = call(entry, completion_call(north_key, model, 1));
            CPPUNIT_ASSERT_MESSAGE(model + ": " + reply.body,
                                   reply.status >= 400 && reply.status < 500);
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), reply.header("snipespar-run"));
        }
        auto wanted = completion_call(north_key, "a1@v1", 1);
        for (const std::string body : {"", "{", "[]", "null", "{\"model\":1}", "{\"model\":\"a1\"}",
                                       "{\"model\":\"a1\",\"prompt\":\"x\",\"max_tokens\":-1}",
                                       "{\"model\":\"a1\",\"prompt\":\"x\",\"max_tokens\":\"a\"}",
                                       "{\"model\":\"a1\",\"prompt\":\"x\",\"stream\":3}"}) {
            wanted.body = body;
            const auto reply = call(entry, wanted);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body + ": " + reply.body, 400U, reply.status);
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), reply.header("snipespar-run"));
        }
        wanted.body = std::string(5000, ' ');
        assert_not_run(call(entry, wanted), 413, "body_too_large");
        http_call unknown;
        unknown.target = "/nowhere";
        unknown.headers = wanted.headers;
        CPPUNIT_ASSERT_EQUAL(404U, call(entry, unknown).status);

        CPPUNIT_ASSERT(before == record(test.engine().upstream_address).at("executions"));
        CPPUNIT_ASSERT_EQUAL(200U, call(entry, completion_call(north_key, "a1@v1", 1)).status);
    }

    void malformed_http_is_refused_and_the_entry_keeps_serving()
    {
        fleet test;
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        const auto& entry = test.entry().address;
        const auto long_header = "GET / HTTP/1.1\r\nA: " + std::string(100000, 'a') + "\r\n\r\n";
        const std::vector<std::string> malformed{
            "rubbish\r\n\r\n",
            "GET / HTTP/9.9\r\n\r\n",
            "POST /v1/completions HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            "POST /v1/completions HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            std::string("\0\xff\x16\x03\x01", 5),
            long_header};
        for (const auto& bytes : malformed) {
            const auto answer = send_bytes(entry, bytes);
            const bool refused = answer.empty() || answer.starts_with("HTTP/1.1 4");
            CPPUNIT_ASSERT_MESSAGE(bytes.substr(0, 60) + " got " + answer, refused);
        }
        CPPUNIT_ASSERT_EQUAL(200U, call(entry, completion_call(north_key, "a1@v1", 1)).status);
    }

    void agent_with_a_wrong_secret_gets_no_requests()
    {
        fleet_options options;
        options.agent_secret = "another secret that is long enough to be valid";
        fleet test(options);
        CPPUNIT_ASSERT(wait_until([&] {
            const auto reply =
                send_call(test.entry().address, completion_call(north_key, "a1@v1", 1));
            return reply.ok() && reply->status == 503;
        }));
        CPPUNIT_ASSERT(record(test.engine().upstream_address).at("executions").empty());
    }

    void malformed_engine_output_is_never_forwarded()
    {
        fleet test;
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        set_faults(test.engine().upstream_address, R"({"rubbish": true})");
        const auto reply = call(test.entry().address, completion_call(north_key, "a1@v1", 3));
        CPPUNIT_ASSERT_MESSAGE(reply.body, reply.status >= 500);
        CPPUNIT_ASSERT(reply.header("snipespar-run") != "not-run");
        set_faults(test.engine().upstream_address, R"({"reset": true, "echo": "a1@v2"})");
        const auto other = call(test.entry().address, completion_call(north_key, "a1@v1", 3));
        CPPUNIT_ASSERT_MESSAGE(other.body, other.status >= 500);
    }

    void non_idempotent_call_runs_once_when_the_response_is_lost()
    {
        fleet_options options;
        options.engines = 0;
        options.services = 1;
        fleet test(options);
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        const auto& service = test.service().upstream_address;
        for (const std::string fault : {"close_after", "truncate", "rubbish"}) {
            const auto before = record(service).at("total").get<int>();
            set_faults(service, "{\"" + fault + "\": true}");
            const auto reply = send_call(test.entry().address, stock_call("POST", "one"));
            // Once the response head is forwarded, only a closed connection can signal the failure.
            const bool reported = !reply.ok() || (reply->status >= 500 &&
                                                  reply->header("snipespar-run") != "not-run");
            CPPUNIT_ASSERT_MESSAGE(fault, reported);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault, before + 1, record(service).at("total").get<int>());
        }
    }

    void graceful_stop_of_the_entry_interrupts_nothing()
    {
        fleet test;
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        read_whole_stream_while_stopping(test, *test.entry().process);
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.entry().process->wait() == 0);
    }

    void graceful_stop_of_the_agent_interrupts_nothing()
    {
        fleet test;
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        read_whole_stream_while_stopping(test, *test.engine().agent);
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.engine().agent->wait() == 0);
    }

    void second_signal_forces_the_stop_and_logs_it()
    {
        fleet test;
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        auto stream = open_long_stream(test);
        auto& entry = *test.entry().process;
        entry.signal(SIGTERM);
        CPPUNIT_ASSERT(entry.wait_for_output("draining"));
        CPPUNIT_ASSERT(entry.running());
        entry.signal(SIGTERM);
        CPPUNIT_ASSERT(entry.wait_for_output("event=forced_stop"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(entry.output(), 1, entry.wait().value_or(-1));
        while (true) {
            const auto event = stream.next();
            CPPUNIT_ASSERT_MESSAGE("a truncated stream looks complete",
                                   !event.ok() || **event != "[DONE]");
            if (!event.ok()) {
                break;
            }
        }
    }

private:
    static constexpr int long_stream_tokens = 1000;

    // A stream whose first token has arrived and that lasts at least half a second.
    static sse_stream open_long_stream(fleet& test)
    {
        auto stream = sse_stream::open(
            test.entry().address, completion_call(north_key, "a1@v1", long_stream_tokens, true));
        CPPUNIT_ASSERT(stream.ok());
        const auto first = stream->next();
        CPPUNIT_ASSERT(first.ok() && first->has_value());
        return *std::move(stream);
    }

    static void read_whole_stream_while_stopping(fleet& test, child_process& stopping)
    {
        auto stream = open_long_stream(test);
        stopping.signal(SIGTERM);
        CPPUNIT_ASSERT(stopping.wait_for_output("draining"));
        int tokens = 1;
        std::string last;
        while (true) {
            const auto event = stream.next();
            CPPUNIT_ASSERT_MESSAGE(event.ok() ? "" : std::string(event.status().message()),
                                   event.ok());
            if (!*event) {
                break;
            }
            last = **event;
            tokens += last.find("token_index") != std::string::npos ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), last);
        CPPUNIT_ASSERT_EQUAL(long_stream_tokens, tokens);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(whole_path_test);

} // namespace snipespar::testing
