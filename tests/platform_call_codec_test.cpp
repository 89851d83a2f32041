#include "platform/call_codec.h"

#include <boost/beast/http/fields.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>

namespace snipespar::platform {

namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using message = http::request<http::string_body>;

message sample()
{
    message request{http::verb::post, "/p/x?y=1", 11};
    request.set(http::field::host, "a.example:8080");
    request.set("Request-Id", "r1");
    request.set("Model", "base/a3");
    request.set("Token-Count", "1460,80");
    request.set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410");
    request.set("Deadline-Ms", "5000");
    request.set("Authorization", "Token key-1");
    request.set("X-Trace", "t");
    request.body() = "hello";
    return request;
}

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class platform_call_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_call_codec_test);
    CPPUNIT_TEST(call_is_decoded);
    CPPUNIT_TEST(taken_up_stream_is_named);
    CPPUNIT_TEST(shared_prompt_parts_are_decoded);
    CPPUNIT_TEST(invalid_fields_are_named);
    CPPUNIT_TEST(token_count_that_no_account_holds_is_invalid);
    CPPUNIT_TEST(names_that_are_not_utf8_are_invalid);
    CPPUNIT_TEST(caller_cannot_set_reserved_fields);
    CPPUNIT_TEST(hop_by_hop_fields_are_not_forwarded);
    CPPUNIT_TEST(upstream_sees_team_and_not_key);
    CPPUNIT_TEST(answer_is_decoded);
    CPPUNIT_TEST(misdirected_call_has_not_run_only_if_the_answer_says_so);
    CPPUNIT_TEST(state_of_the_upstream_is_decoded);
    CPPUNIT_TEST(rate_that_an_upstream_names_is_decoded);
    CPPUNIT_TEST(load_that_an_upstream_states_is_decoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void call_is_decoded()
    {
        const auto call = decode_call(sample());
        CPPUNIT_ASSERT(call.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("a.example"), call->host);
        CPPUNIT_ASSERT(call->path() == "/p/x");
        CPPUNIT_ASSERT_EQUAL(std::string("key-1"), call->key);
        CPPUNIT_ASSERT(call->caller_timeout == milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::string("base"), call->model);
        CPPUNIT_ASSERT_EQUAL(std::string("a3"), call->adapter);
        CPPUNIT_ASSERT(call->has_token_count);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1460}, call->prompt_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, call->max_output_tokens);
        CPPUNIT_ASSERT(call->session != 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{800}, call->shared_tokens);
    }

    // The same part has the same hash in other prompts; the last one is the request's own.
    void taken_up_stream_is_named()
    {
        auto request = sample();
        CPPUNIT_ASSERT(!decode_call(request)->is_take_up());
        request.set("Resumes", "r0");
        CPPUNIT_ASSERT(decode_call(request)->is_take_up());
        request.set("Last-Event-Id", "4");
        const auto call = decode_call(request);
        CPPUNIT_ASSERT_EQUAL(std::string("r0"), call->resumes);
        CPPUNIT_ASSERT(call->last_event == 4U);
        request.erase("Resumes");
        CPPUNIT_ASSERT(decode_call(request)->is_take_up());
    }

    void shared_prompt_parts_are_decoded()
    {
        const auto decode = [](const std::string& parts) {
            auto request = sample();
            request.set("Prompt-Prefix", parts);
            return decode_call(std::move(request))->shared_parts;
        };
        const auto first = decode("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.size());
        CPPUNIT_ASSERT(first[0] != first[1]);
        CPPUNIT_ASSERT(decode("91bd3f06:12,aa:1") == std::vector<std::uint64_t>{first[1]});
        CPPUNIT_ASSERT(decode("5c1e07a2:800").empty());
        std::string many;
        for (int i = 0; i < 200; ++i) {
            many += std::to_string(i) + ":1,";
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, decode(many + "ff:1").size());
    }

    void invalid_fields_are_named()
    {
        const std::map<std::string, std::string> faulty{{"Deadline-Ms", "soon"},
                                                        {"Deadline-Ms ", "-5"},
                                                        {"Token-Count", "12"},
                                                        {"Token-Count ", "a,b"},
                                                        {"Last-Event-Id", "x"}};
        for (const auto& [name, value] : faulty) {
            auto request = sample();
            const auto field = name.substr(0, name.find(' '));
            request.set(field, value);
            const auto call = decode_call(std::move(request));
            CPPUNIT_ASSERT_MESSAGE(field, !call.ok());
            CPPUNIT_ASSERT(has(std::string(call.status().message()), field));
        }
        auto twice = sample();
        twice.insert("Request-Id", "r2");
        CPPUNIT_ASSERT(!decode_call(std::move(twice)).ok());
        auto without_host = sample();
        without_host.erase(http::field::host);
        CPPUNIT_ASSERT(!decode_call(std::move(without_host)).ok());
    }

    // Guards against one request whose tokens overflow the account of its team.
    void token_count_that_no_account_holds_is_invalid()
    {
        for (const std::string count : {"18446744073709551615,0", "0,9000000000000000000",
                                        "1000000001,1", "18446744073709551615,2"}) {
            auto request = sample();
            request.set("Token-Count", count);
            const auto call = decode_call(std::move(request));
            CPPUNIT_ASSERT_MESSAGE(count, !call.ok());
            CPPUNIT_ASSERT(has(std::string(call.status().message()), "Token-Count"));
        }
        auto largest = sample();
        largest.set("Token-Count", "1000000000,1000000000");
        CPPUNIT_ASSERT(decode_call(std::move(largest)).ok());
    }

    // Guards against a name that no log line, no message to a sidecar and no order can hold.
    void names_that_are_not_utf8_are_invalid()
    {
        const std::string name = "a\xe9";
        for (const auto* field :
             {"Host", "Request-Id", "Model", "Prompt-Prefix", "Resumes", "Authorization"}) {
            auto request = sample();
            request.set(field, (field == std::string("Authorization") ? "Token " : "") + name);
            const auto call = decode_call(request);
            CPPUNIT_ASSERT_MESSAGE(field, !call.ok());
            CPPUNIT_ASSERT_EQUAL(field + std::string(": must be UTF-8"),
                                 std::string(call.status().message()));
        }
        auto request = sample();
        request.target("/p/" + name);
        CPPUNIT_ASSERT(!decode_call(request).ok());
        request.set("Request-Id", name);
        CPPUNIT_ASSERT_EQUAL(std::string(), request_id_of(request));
        // Other fields are opaque, and HTTP allows all bytes above 0x7f in them.
        auto other = sample();
        other.set("X-Trace", name);
        CPPUNIT_ASSERT(has(decode_call(other)->forwarded_header, "X-Trace: " + name + "\r\n"));
    }

    void caller_cannot_set_reserved_fields()
    {
        auto request = sample();
        for (const auto* name : {"Expect-Instance", "Tenant", "Hold", "Pin-Ms", "Kv-Backup",
                                 "Kv-From", "Kv-Fetch", "Request-Priority", "Expect-Version"}) {
            request.set(name, "forged");
        }
        const auto call = decode_call(std::move(request));
        CPPUNIT_ASSERT(!has(call->forwarded_header, "forged"));
        CPPUNIT_ASSERT(has(call->forwarded_header, "X-Trace: t\r\n"));
        CPPUNIT_ASSERT(has(call->forwarded_header, "Model: base/a3\r\n"));
        CPPUNIT_ASSERT(has(call->forwarded_header, "Token-Count: 1460,80\r\n"));
    }

    void hop_by_hop_fields_are_not_forwarded()
    {
        auto request = sample();
        request.set(http::field::connection, "keep-alive, X-Trace, Model");
        request.set("X-Trace", "t");
        request.set(http::field::te, "trailers");
        request.set(http::field::transfer_encoding, "chunked");
        const auto call = decode_call(std::move(request));
        CPPUNIT_ASSERT(!has(call->forwarded_header, "X-Trace"));
        CPPUNIT_ASSERT(!has(call->forwarded_header, "TE"));
        CPPUNIT_ASSERT(!has(call->forwarded_header, "Connection"));
        CPPUNIT_ASSERT(!has(call->forwarded_header, "Transfer-Encoding"));
        // The upstream needs the model even if a Connection field names it.
        CPPUNIT_ASSERT(has(call->forwarded_header, "Model: base/a3\r\n"));
    }

    void upstream_sees_team_and_not_key()
    {
        const auto call = decode_call(sample());
        gateway::attempt_header attempt;
        attempt.upstream = upstream_id("i-1");
        attempt.team = team_id("shops");
        attempt.time_left = milliseconds(1234);
        attempt.last_event = 12;
        attempt.urgency = 3;
        const auto head = encode_attempt(*call, attempt);
        CPPUNIT_ASSERT(head.starts_with("POST /p/x?y=1 HTTP/1.1\r\nHost: a.example\r\n"));
        CPPUNIT_ASSERT(head.ends_with("Content-Length: 5\r\n\r\n"));
        CPPUNIT_ASSERT(!has(head, "key-1"));
        CPPUNIT_ASSERT(has(head, "Tenant: shops\r\n"));
        CPPUNIT_ASSERT(has(head, "Expect-Instance: i-1\r\n"));
        CPPUNIT_ASSERT(has(head, "Deadline-Ms: 1234\r\n"));
        CPPUNIT_ASSERT(has(head, "Last-Event-Id: 12\r\n"));
        CPPUNIT_ASSERT(has(head, "Request-Priority: 3\r\n"));
    }

    void answer_is_decoded()
    {
        http::response_header<> header;
        header.result(200);
        header.reason("OK");
        header.set("Request-Id", "r1");
        header.set("Response-Seal", "s");
        header.set(http::field::keep_alive, "timeout=12, max=5");
        header.set(http::field::content_length, "3");
        auto answer = decode_answer(header);
        CPPUNIT_ASSERT(answer.is_success() && answer.is_sealed && !answer.states_not_run);
        CPPUNIT_ASSERT_EQUAL(12U, answer.keep_alive_s);
        CPPUNIT_ASSERT_EQUAL(std::string("Request-Id: r1\r\nResponse-Seal: s\r\n"),
                             answer.forwarded_header);
        header.set("Not-Executed", "1");
        // Contradictory: the upstream has run the call.
        CPPUNIT_ASSERT(!decode_answer(header).states_not_run);
        header.result(500);
        CPPUNIT_ASSERT(!decode_answer(header).states_not_run);
        header.result(503);
        CPPUNIT_ASSERT(decode_answer(header).states_not_run);
        header.erase("Not-Executed");
        CPPUNIT_ASSERT(!decode_answer(header).states_not_run);
    }

    // Guards against "not run" for a call that the upstream itself answers 421 after a run.
    void misdirected_call_has_not_run_only_if_the_answer_says_so()
    {
        http::response_header<> header;
        header.result(421);
        CPPUNIT_ASSERT(!decode_answer(header).has_not_run("i-1"));
        header.set("Instance-Id", "i-1");
        CPPUNIT_ASSERT(!decode_answer(header).has_not_run("i-1"));
        header.set("Instance-Id", "i-2");
        CPPUNIT_ASSERT(decode_answer(header).has_not_run("i-1"));
        header.result(503);
        CPPUNIT_ASSERT(!decode_answer(header).has_not_run("i-1"));
        header.result(421);
        header.set("Instance-Id", "i-1");
        header.set("Not-Executed", "1");
        CPPUNIT_ASSERT(decode_answer(header).has_not_run("i-1"));
    }

    void state_of_the_upstream_is_decoded()
    {
        http::response_header<> header;
        header.result(503);
        CPPUNIT_ASSERT(!decode_answer(header).is_leaving);
        CPPUNIT_ASSERT(!decode_answer(header).retry_after);
        header.set("Server-Leaving", "1");
        header.set(http::field::retry_after, "2.5");
        CPPUNIT_ASSERT(decode_answer(header).is_leaving);
        CPPUNIT_ASSERT(*decode_answer(header).retry_after == milliseconds(2500));
        for (const auto* invalid : {"soon", "-1", "0", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            header.set(http::field::retry_after, invalid);
            CPPUNIT_ASSERT_MESSAGE(invalid, !decode_answer(header).retry_after);
        }
        header.set(http::field::retry_after, "1e300");
        CPPUNIT_ASSERT(*decode_answer(header).retry_after == std::chrono::hours(1));
    }

    void rate_that_an_upstream_names_is_decoded()
    {
        http::response_header<> header;
        CPPUNIT_ASSERT(!decode_answer(header).rate_limit);
        CPPUNIT_ASSERT(!decode_answer(header).has_invalid_rate_limit);
        for (const auto* valid : {"4.8", "0", "30"}) {
            header.set("Server-Limit", valid);
            CPPUNIT_ASSERT_EQUAL(std::stod(valid), *decode_answer(header).rate_limit);
        }
        header.set("Server-Limit", "1e300");
        CPPUNIT_ASSERT(*decode_answer(header).rate_limit < 1e9);
        for (const auto* invalid : {"few", "-1", "nan", "4,8"}) {
            header.set("Server-Limit", invalid);
            CPPUNIT_ASSERT_MESSAGE(invalid, !decode_answer(header).rate_limit);
            CPPUNIT_ASSERT_MESSAGE(invalid, decode_answer(header).has_invalid_rate_limit);
        }
    }

    void load_that_an_upstream_states_is_decoded()
    {
        http::response_header<> header;
        CPPUNIT_ASSERT(!decode_answer(header).load);
        header.set("Backend-Load", "3,2,8");
        CPPUNIT_ASSERT((*decode_answer(header).load == gateway::stated_load{3, 2, 8, 1.0}));
        header.set("Backend-Load", "3,2,8,250");
        CPPUNIT_ASSERT((*decode_answer(header).load == gateway::stated_load{3, 2, 8, 2.5}));
        header.set("Backend-Load", "3, 2, 8, 0, future");
        CPPUNIT_ASSERT((*decode_answer(header).load == gateway::stated_load{3, 2, 8, 0.01}));
        for (const auto* invalid :
             {"", "3,2", "3,2,0", "-1,2,8", "a,2,8", "3,2,8,slow", "9999999999,0,8"}) {
            header.set("Backend-Load", invalid);
            CPPUNIT_ASSERT_MESSAGE(invalid, !decode_answer(header).load);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_call_codec_test);

} // namespace snipespar::platform
