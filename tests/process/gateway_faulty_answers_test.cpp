#include "process/support/gateway_fleet.h"
#include "process/support/process_memory.h"
#include "process/support/raw_caller.h"
#include "process/support/raw_upstream.h"
#include "process/support/wait_until.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace snipespar::testing {

namespace {

constexpr int stream_events = 8;
// What an upstream may send of something endless before its connection is closed: the gateway's
// bound on an answer, and what the buffers of the two sockets hold.
constexpr std::uint64_t most_endless_bytes = 40ULL * 1024 * 1024;
// Memory of the smallest hosts.
constexpr long most_memory_kb = 160L * 1024;

bool set_faults(const fleet_member& upstream, const std::string& faults)
{
    const auto reply = send_call(upstream.address, {"POST", "/faults", {}, faults});
    return reply.ok() && reply->status == 200;
}

// An unreachable gateway gives status 0.
http_reply send(const fleet_member& gateway, const http_call& call)
{
    auto reply = send_call(gateway.address, call);
    return reply.ok() ? *std::move(reply) : http_reply{};
}

// Announces an upstream of the service `desk`.
bool announce(gateway_fleet& fleet, const std::string& id, const raw_upstream& upstream)
{
    fleet_member member;
    member.id = id;
    member.address = upstream.address();
    return fleet.announce(member, "desk", false);
}

std::string expected_stream(const std::string& id)
{
    std::string text;
    for (int number = 1; number <= stream_events; ++number) {
        text += fmt::format("id: {0}\ndata: {1} {0}\n\n", number, id);
    }
    return text;
}

} // namespace

/// Upstreams whose answers have no length, break off or never end.
class gateway_faulty_answers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_faulty_answers_test);
    CPPUNIT_TEST(answers_without_a_length_are_delivered_whole);
    CPPUNIT_TEST(answer_without_a_length_that_is_reset_is_not_complete);
    CPPUNIT_TEST(answer_without_a_length_that_is_reset_during_an_upload_is_not_complete);
    CPPUNIT_TEST(answer_without_a_length_is_not_ended_by_the_end_of_its_gateway);
    CPPUNIT_TEST(status_out_of_range_reaches_no_caller);
    CPPUNIT_TEST(broken_line_of_a_head_reaches_no_caller);
    CPPUNIT_TEST(stream_that_ends_inside_an_event_goes_on_elsewhere);
    CPPUNIT_TEST(answer_without_a_length_is_given_none);
    CPPUNIT_TEST(stream_is_not_ended_by_a_resumption_without_events);
    CPPUNIT_TEST(stream_that_ended_with_its_engine_goes_on_elsewhere);
    CPPUNIT_TEST(head_of_a_stream_has_no_body);
    CPPUNIT_TEST(status_of_a_refusal_after_a_run_is_a_failure);
    CPPUNIT_TEST(repeated_refusal_speaks_for_no_other_request);
    CPPUNIT_TEST(endless_head_is_cut);
    CPPUNIT_TEST(endless_bytes_that_are_no_answer_are_cut);
    CPPUNIT_TEST(endless_interim_answers_are_cut);
    CPPUNIT_TEST(endless_answer_of_another_request_is_cut);
    CPPUNIT_TEST(endless_body_is_cut);
    CPPUNIT_TEST(endless_event_is_cut);
    CPPUNIT_TEST(endless_chunk_header_is_cut);
    CPPUNIT_TEST_SUITE_END();

public:
    void answers_without_a_length_are_delivered_whole()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 1, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& gateway = fleet.gateways.front();
        CPPUNIT_ASSERT(set_faults(fleet.services[0], R"({"unframed": true})"));
        CPPUNIT_ASSERT(set_faults(fleet.engines[0], R"({"unframed": true})"));
        const auto plain = send(gateway, fleet.make_call("/unsafe/x", "u1"));
        CPPUNIT_ASSERT_EQUAL(200U, plain.status);
        CPPUNIT_ASSERT_EQUAL(std::string("u1body of u1"), plain.body);
        const auto stream = send(gateway, fleet.make_call("/stream/x", "s1"));
        CPPUNIT_ASSERT_EQUAL(200U, stream.status);
        CPPUNIT_ASSERT_EQUAL(expected_stream("s1"), stream.body);
    }

    void answer_without_a_length_that_is_reset_is_not_complete()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(
            set_faults(fleet.services[0], R"({"unframed": true, "reset_in_body": true})"));
        CPPUNIT_ASSERT_EQUAL(502U,
                             send(fleet.gateways[0], fleet.make_call("/unsafe/x", "u1")).status);
    }

    void status_out_of_range_reaches_no_caller()
    {
        std::vector<std::string> heads;
        for (const std::string status : {"000", "099", "600", "700", "999"}) {
            heads.push_back(broken_head(status, ""));
        }
        check_broken_heads(heads);
    }

    void broken_line_of_a_head_reaches_no_caller()
    {
        std::vector<std::string> heads;
        for (const std::string line : {" X-B: y", "\tX-B: y", " Content-Length: 2",
                                       "\tTransfer-Encoding: chunked", "X B: y", "X-B : y"}) {
            heads.push_back(broken_head("200", line + "\r\n"));
        }
        check_broken_heads(heads);
    }

    // Guards against a part of an answer that callers get as the whole.
    void answer_without_a_length_that_is_reset_during_an_upload_is_not_complete()
    {
        // The sockets take the smaller one whole.
        constexpr std::size_t large_upload_bytes = 3UL * 1024 * 1024;
        constexpr std::size_t small_upload_bytes = 400UL * 1000;
        constexpr int callers = 6;
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 0});
        raw_upstream upstream({});
        CPPUNIT_ASSERT(announce(fleet, "raw", upstream));
        CPPUNIT_ASSERT(fleet.change_config(
            [&](auto& config) { config["limits"]["max_body_bytes"] = 2 * large_upload_bytes; }));
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(wait_until(
            [&] { return fleet.config_version_of(fleet.gateways[0]) == fleet.config_version(); }));
        for (const auto end : {raw_answer::end::reset, raw_answer::end::in_order_then_reset,
                               raw_answer::end::in_order_then_late_reset}) {
            upstream.set_answer({{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n\r\n"
                                  "a part of the body"},
                                 end});
            for (const std::string path : {"/unsafe/x", "/safe/x"}) {
                for (int i = 0; i < callers; ++i) {
                    auto call =
                        fleet.make_call(path, fmt::format("{}{}", static_cast<int>(end), i));
                    call.body.resize(i % 2 == 0 ? large_upload_bytes : small_upload_bytes, 'u');
                    const auto reply = send(fleet.gateways[0], call);
                    const auto told = fmt::format("{} {}: {} with {} bytes", path, i, reply.status,
                                                  reply.body.size());
                    // 503 if the upstream is left alone for its failures: nothing was sent.
                    CPPUNIT_ASSERT_MESSAGE(told, reply.status == 502 || reply.status == 503);
                    CPPUNIT_ASSERT_MESSAGE(told, reply.header("response-seal").empty());
                }
            }
        }
        CPPUNIT_ASSERT(upstream.requests() > 0);
    }

    void stream_that_ends_inside_an_event_goes_on_elsewhere()
    {
        gateway_fleet fleet({.gateways = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(set_faults(fleet.engines[0], R"({"unframed": true, "cut_in_event": true})"));
        for (int i = 0; fleet.runs(fleet.engines[0])["runs"].empty(); ++i) {
            CPPUNIT_ASSERT(i < 100);
            auto call = fleet.make_call("/stream/x", fmt::format("s{}", i));
            call.headers["Model"] = "base";
            const auto stream = send(fleet.gateways[0], call);
            CPPUNIT_ASSERT_EQUAL(expected_stream(fmt::format("s{}", i)), stream.body);
        }
    }

    // Guards against a body cut short by its upstream that callers get framed as whole.
    void answer_without_a_length_is_given_none()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(set_faults(fleet.services[0], R"({"unframed": true})"));
        for (const std::string path : {"/unsafe/x", "/safe/x"}) {
            const auto reply = send(fleet.gateways[0], fleet.make_call(path, "u1"));
            CPPUNIT_ASSERT_EQUAL(200U, reply.status);
            CPPUNIT_ASSERT_EQUAL(std::string(), reply.header("content-length"));
            CPPUNIT_ASSERT_EQUAL(std::string("close"), reply.header("connection"));
        }
    }

    // Guards against a part that looks complete, as the gateway was killed while it passed on an
    // answer that ends with its connection.
    void answer_without_a_length_is_not_ended_by_the_end_of_its_gateway()
    {
        // More than the sockets of a caller hold.
        const std::string body(8UL * 1024 * 1024, 'b');
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 0});
        const raw_upstream upstream(
            {{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n\r\n" + body},
             raw_answer::end::in_order});
        CPPUNIT_ASSERT(announce(fleet, "raw", upstream));
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(wait_until([&] {
            return send(fleet.gateways[0], fleet.make_call("/safe/x", "k0")).status == 200;
        }));
        for (const bool is_killed : {false, true}) {
            raw_caller caller(fleet.gateways[0].address);
            CPPUNIT_ASSERT(caller.send("GET /safe/x HTTP/1.1\r\nRequest-Id: k1\r\n"
                                       "Host: a.example\r\nDeadline-Ms: 5000\r\n"
                                       "Authorization: Token key-1\r\n\r\n"));
            auto received = caller.read_some(1000);
            CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200 OK\r\n"));
            if (is_killed) {
                fleet.gateways[0].process->kill();
            }
            received += caller.read_to_end();
            CPPUNIT_ASSERT_EQUAL(is_killed, caller.was_reset());
            CPPUNIT_ASSERT_EQUAL(!is_killed, received.ends_with("\r\n\r\n" + body));
        }
    }

    // Guards against a broken stream that the next upstream's answer ends as if it were complete.
    void stream_is_not_ended_by_a_resumption_without_events()
    {
        const std::string head = "Request-Id: {0}\\r\\nResponse-Seal: s.{0}\\r\\n";
        for (const auto& answer : std::vector<std::string>{
                 "HTTP/1.1 204 No Content\\r\\n" + head + "\\r\\n",
                 "HTTP/1.1 200 OK\\r\\n" + head + "Content-Length: 0\\r\\n\\r\\n",
                 "HTTP/1.1 200 OK\\r\\n" + head +
                     "Content-Type: text/event-stream\\r\\nContent-Length: 0\\r\\n\\r\\n",
                 "HTTP/1.1 200 OK\\r\\n" + head + "Connection: close\\r\\n\\r\\n",
                 "HTTP/1.1 200 OK\\r\\n" + head +
                     "Content-Type: text/event-stream\\r\\nConnection: close\\r\\n\\r\\n"}) {
            gateway_fleet fleet({.gateways = 1});
            CPPUNIT_ASSERT(fleet.wait_until_ready());
            CPPUNIT_ASSERT(
                set_faults(fleet.engines[0], R"({"unframed": true, "cut_in_event": true})"));
            CPPUNIT_ASSERT(
                set_faults(fleet.engines[1], fmt::format(R"({{"resumption": "{}"}})", answer)));
            for (int i = 0; fleet.runs(fleet.engines[0])["runs"].empty(); ++i) {
                CPPUNIT_ASSERT(i < 100);
                const auto id = fmt::format("s{}", i);
                auto call = fleet.make_call("/stream/x", id);
                call.headers["Model"] = "base";
                call.headers["Deadline-Ms"] = "3000";
                const auto stream = send(fleet.gateways[0], call);
                CPPUNIT_ASSERT_MESSAGE(answer,
                                       stream.status == 0 || stream.body == expected_stream(id));
            }
        }
    }

    // Guards against a crash between two events that looks like the end of the stream.
    void stream_that_ended_with_its_engine_goes_on_elsewhere()
    {
        gateway_fleet fleet({.gateways = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(
            set_faults(fleet.engines[0], R"({"unframed": true, "crash_on_part": "0000000a"})"));
        for (int i = 0; fleet.engines[0].process->running(); ++i) {
            CPPUNIT_ASSERT(i < 100);
            const auto id = fmt::format("s{}", i);
            auto call = fleet.make_call("/stream/x", id);
            call.headers["Model"] = "base";
            call.headers["Prompt-Prefix"] = fmt::format("0000000a:20,{:08x}:5", i + 100);
            CPPUNIT_ASSERT_EQUAL(expected_stream(id), send(fleet.gateways[0], call).body);
        }
    }

    // Guards against the end of a body after a head that has none: it would be read as the
    // beginning of the next answer.
    void head_of_a_stream_has_no_body()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 1, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const std::string fields =
            "Host: a.example\r\nDeadline-Ms: 5000\r\nAuthorization: Token key-1\r\n"
            "Model: base\r\nToken-Count: 10,2\r\n";
        raw_caller caller(fleet.gateways[0].address);
        CPPUNIT_ASSERT(caller.send(
            "HEAD /stream/x HTTP/1.1\r\nRequest-Id: h1\r\n" + fields + "\r\n" +
            "GET /none/x HTTP/1.1\r\nConnection: close\r\nRequest-Id: h2\r\n" + fields + "\r\n"));
        const auto received = caller.read_to_end();
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200 OK\r\n"));
        const auto end = received.find("\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(received, received.substr(end + 4).starts_with("HTTP/1.1 404 "));
    }

    // Guards against callers that are told "not run" because an upstream failed with such a status.
    void status_of_a_refusal_after_a_run_is_a_failure()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        for (const int status : {503, 429, 408, 421}) {
            CPPUNIT_ASSERT(
                set_faults(fleet.services[0], fmt::format(R"({{"fail_status": {}}})", status)));
            for (const std::string path : {"/unsafe/x", "/safe/x"}) {
                const auto id = fmt::format("{}-{}", path.substr(1, 4), status);
                CPPUNIT_ASSERT_EQUAL(502U,
                                     send(fleet.gateways[0], fleet.make_call(path, id)).status);
            }
        }
    }

    // Guards against a refusal on a kept connection that is taken for the answer to a later
    // request.
    void repeated_refusal_speaks_for_no_other_request()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 2});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        // Leaves a kept connection to each upstream.
        for (int i = 0; i < 8; ++i) {
            send(fleet.gateways[0], fleet.make_call("/unsafe/x", fmt::format("first-{}", i)));
        }
        for (const auto& service : fleet.services) {
            CPPUNIT_ASSERT(set_faults(service, R"({"repeat_refusal": true})"));
        }
        for (int i = 0; i < 8; ++i) {
            const auto reply =
                send(fleet.gateways[0], fleet.make_call("/unsafe/x", fmt::format("u{}", i)));
            CPPUNIT_ASSERT(reply.status == 502 || reply.status == 200);
        }
        std::map<std::string, int> runs;
        for (const auto& service : fleet.services) {
            const auto recorded = fleet.runs(service);
            for (const auto& run : recorded["runs"]) {
                ++runs[run["id"].get<std::string>()];
            }
        }
        for (const auto& [id, count] : runs) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 1, count);
        }
    }

    void endless_head_is_cut() { check_endless_answer("head"); }
    void endless_bytes_that_are_no_answer_are_cut() { check_endless_answer("rubbish"); }

    // Guards against answers that end at once, belong to nobody and never stop coming.
    void endless_interim_answers_are_cut() { check_endless_answer("interim"); }

    // Guards against the body of an answer to another request that is kept in memory.
    void endless_answer_of_another_request_is_cut() { check_endless_answer("stale"); }

    // Guards against a buffered answer without a bound.
    void endless_body_is_cut() { check_endless_answer("body"); }

    // Guards against an event without a bound.
    void endless_event_is_cut() { check_endless_answer("event"); }

    void endless_chunk_header_is_cut() { check_endless_answer("chunk"); }

private:
    static std::string broken_head(const std::string& status, const std::string& line)
    {
        return fmt::format(
            "HTTP/1.1 {} Trouble\r\nRequest-Id: {{id}}\r\nResponse-Seal: s\r\nX-A: y\r\n"
            "{}Content-Length: 4\r\n\r\nbody",
            status, line);
    }

    // One upstream sends these answers, the other one sound ones. Calls that may run again are
    // answered by the other one at once, and no caller gets anything of a broken answer.
    static void check_broken_heads(const std::vector<std::string>& heads)
    {
        for (const auto& bytes : heads) {
            gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
            const raw_upstream upstream({{bytes}});
            CPPUNIT_ASSERT(announce(fleet, "raw", upstream));
            CPPUNIT_ASSERT(fleet.wait_until_ready());
            for (const std::string kind : {"safe", "unsafe"}) {
                const int before = upstream.requests();
                for (int i = 0; upstream.requests() == before; ++i) {
                    CPPUNIT_ASSERT_MESSAGE(bytes, i < 200);
                    const auto id = fmt::format("{}{}", kind, i);
                    const auto reply =
                        send(fleet.gateways[0], fleet.make_call(fmt::format("/{}/x", kind), id));
                    const auto told =
                        fmt::format("{} {}: {} {}", kind, bytes, reply.status, reply.body);
                    const bool was_broken = upstream.requests() != before;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(told, was_broken && kind == "unsafe" ? 502U : 200U,
                                                 reply.status);
                    CPPUNIT_ASSERT_MESSAGE(told,
                                           reply.status != 200 ||
                                               reply.body == fmt::format("{0}body of {0}", id));
                }
            }
        }
    }

    // One of two upstreams sends something endless. Its calls are answered by the other one, its
    // connection is closed soon and little of it is kept.
    static void check_endless_answer(const std::string& kind)
    {
        const bool is_stream = kind == "event";
        gateway_fleet fleet(
            {.gateways = 1, .engines = is_stream ? 2U : 0U, .services = is_stream ? 0U : 2U});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& upstream = is_stream ? fleet.engines[0] : fleet.services[0];
        CPPUNIT_ASSERT(set_faults(upstream, fmt::format(R"({{"endless": "{}"}})", kind)));
        const auto record = [&] { return fleet.runs(upstream); };
        for (int i = 0; record()["runs"].empty(); ++i) {
            CPPUNIT_ASSERT(i < 100);
            auto call = fleet.make_call(is_stream ? "/stream/x" : "/safe/x", fmt::format("e{}", i));
            if (is_stream) {
                call.headers["Model"] = "base";
            }
            CPPUNIT_ASSERT_EQUAL(200U, send(fleet.gateways[0], call).status);
        }
        CPPUNIT_ASSERT(wait_until([&] { return record()["endless_open"] == 0; }));
        const auto sent = record()["endless_bytes"].get<std::uint64_t>();
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes", sent), sent <= most_endless_bytes);
        const auto memory = peak_memory_kb(*fleet.gateways[0].process);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} kB", memory),
                               !is_memory_comparable || memory <= most_memory_kb);
        CPPUNIT_ASSERT(fleet.gateways[0].process->running());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_faulty_answers_test);

} // namespace snipespar::testing
