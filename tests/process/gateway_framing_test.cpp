#include "base/utf8.h"
#include "process/support/gateway_fleet.h"
#include "process/support/raw_caller.h"
#include "process/support/wait_until.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipespar::testing {

namespace {

using std::string_literals::operator""s;

// The head of a request up to its last field; `more` holds further fields with their line ends.
std::string head(const std::string& id, const std::string& more,
                 const std::string& version = "HTTP/1.1")
{
    return fmt::format("POST /unsafe/note {}\r\nHost: a.example\r\nRequest-Id: {}\r\n"
                       "Deadline-Ms: 5000\r\nAuthorization: Token key-1\r\n{}",
                       version, id, more);
}

// The request that closes its connection; the last of each test case, as a connection that stays
// open would be waited for.
std::string last_request(const std::string& id)
{
    return head(id, "Content-Length: 0\r\nConnection: close\r\n\r\n");
}

// Everything that the gateway answers until it closes.
std::string answers(const fleet_member& gateway, const std::string& bytes)
{
    raw_caller caller(gateway.address);
    CPPUNIT_ASSERT(caller.is_connected());
    // The gateway may close before it has read everything.
    static_cast<void>(caller.send(bytes));
    return caller.read_to_end();
}

// Address space of the process, in kB: what is reserved and not yet touched counts, too.
long virtual_memory_kb(const child_process& process)
{
    std::ifstream status(fmt::format("/proc/{}/status", process.id()));
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmSize:")) {
            return std::stol(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

std::size_t count_of(std::string_view text, std::string_view part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

/// Requests with unclear framing or unreadable names, as raw bytes at a real gateway.
class gateway_framing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_framing_test);
    CPPUNIT_TEST(body_in_another_coding_is_never_a_request);
    CPPUNIT_TEST(unclear_framing_is_refused_and_closes);
    CPPUNIT_TEST(trailers_are_not_fields_of_the_request);
    CPPUNIT_TEST(chunk_lines_are_checked_and_bounded);
    CPPUNIT_TEST(clear_requests_in_one_packet_run_once_each);
    CPPUNIT_TEST(names_that_are_not_utf8_are_refused_by_field);
    CPPUNIT_TEST(named_length_reserves_no_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a Transfer-Encoding that is ignored, so that the body is run as a request.
    void body_in_another_coding_is_never_a_request()
    {
        start();
        const std::string length = fmt::format("Content-Length: {}\r\n", last_request("in").size());
        for (const std::string fields :
             {"Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: identity\r\n",
              "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: xchunked\r\n",
              "Transfer-Encoding: \r\n", "Transfer-Encoding: chunked;q=1\r\n",
              "Transfer-Encoding: \"chunked\"\r\n",
              "Transfer-Encoding: identity\r\nTransfer-Encoding: gzip\r\n"}) {
            assert_refused(head("out", fmt::format("{}\r\n", fields)) + last_request("in"), fields);
        }
        assert_refused(head("out", "Transfer-Encoding: identity\r\n" + length + "\r\n") +
                           last_request("in"),
                       "identity and a length");
        const std::string chunks = "1\r\nx\r\n0\r\n\r\n" + last_request("in");
        for (const std::string fields :
             {"Transfer-Encoding: gzip, chunked\r\n",
              "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: chunked, chunked\r\n"}) {
            assert_refused(head("out", fmt::format("{}\r\n", fields)) + chunks, fields);
        }
        assert_refused(head("out", "Transfer-Encoding: chunked\r\n\r\n", "HTTP/1.0") + chunks,
                       "HTTP/1.0");
    }

    // Guards against bytes that another reader on the way could frame otherwise.
    void unclear_framing_is_refused_and_closes()
    {
        start();
        const std::string end = "Content-Length: 0\r\n\r\n";
        for (const auto& fields :
             {"X-Note: a\nContent-Length: 0\r\n\r\n"s, "X-Note: a\rb\r\n" + end,
              "X-Note: a\0b\r\n"s + end, "X-Note : a\r\n" + end, "Content-Length : 0\r\n\r\n"s,
              "X Note: a\r\n" + end, ": a\r\n" + end, "X-Note\r\n" + end,
              "Content-Length: +5\r\n\r\nhello"s, "Content-Length: -5\r\n\r\nhello"s,
              "Content-Length: 0x5\r\n\r\nhello"s, "Content-Length: 5 5\r\n\r\nhello"s,
              "Content-Length: \r\n\r\nhello"s, "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhi"s,
              "Content-Length: 5, 6\r\n\r\nhello"s,
              "Content-Length: 18446744073709551621\r\n\r\nhello"s,
              "Content-Length: 9223372036854775808\r\n\r\nhello"s,
              "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"s,
              "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"s}) {
            assert_refused(head("out", fields) + last_request("in"), fields);
        }
        const auto request = last_request("in");
        assert_refused(" " + request, "space before the request");
        assert_refused("\n" + request, "bare line feed before the request");
        auto spaced = request;
        spaced.insert(spaced.find("Host"), " ");
        assert_refused(spaced, "space before the first field");
        auto bare = request;
        bare.erase(bare.find('\r'), 1);
        assert_refused(bare, "bare line feed after the request line");
        auto twice = request;
        twice.insert(twice.find("Host"), "Host: b.example\r\n");
        // Guards against a refusal that leaves a connection open whose end the request asks for.
        assert_refused(twice, "two hosts");
    }

    // Guards against fields that come after the body and count as fields of the head.
    void trailers_are_not_fields_of_the_request()
    {
        start();
        const auto chunked = [](const std::string& fields, const std::string& trailers) {
            return fields +
                   "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nhi\r\n0\r\n" +
                   trailers + "\r\n";
        };
        const auto reply = answers(
            fleet_->gateways[0],
            chunked(head("r1", ""), "X-Note: late\r\nToken-Count: 5,x\r\nTenant: other\r\n"
                                    "Request-Id: r2\r\nHost: b.example\r\nPrompt-Prefix: a:1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(reply, reply.starts_with("HTTP/1.1 200"));
        const auto record = runs();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, record.size());
        CPPUNIT_ASSERT_EQUAL("r1"s, record[0]["id"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL("hi"s, record[0]["body"].get<std::string>());
        for (const auto* name : {"X-Note", "Token-Count", "Prompt-Prefix"}) {
            CPPUNIT_ASSERT_MESSAGE(name, !record[0]["headers"].contains(name));
        }
        for (const auto* trailer : {"Transfer-Encoding: chunked\r\n", "Transfer-Encoding: x\r\n",
                                    "Content-Length: 2\r\n"}) {
            assert_refused(chunked(head("out", ""), trailer) + last_request("in"), trailer);
        }
        const std::string without_key = "POST /unsafe/note HTTP/1.1\r\nHost: a.example\r\n";
        assert_answered_without_run(
            chunked(without_key + "Request-Id: out\r\n", "Authorization: Token key-1\r\n"),
            "key in a trailer");
        assert_answered_without_run(
            chunked(without_key + "Authorization: Token key-1\r\n", "Request-Id: out\r\n"),
            "id in a trailer");
    }

    // Guards against chunk lines whose end is unclear, or that are never counted.
    void chunk_lines_are_checked_and_bounded()
    {
        start();
        const auto chunked = [](const std::string& chunks) {
            return head("out", "Transfer-Encoding: chunked\r\n\r\n") + chunks + last_request("in");
        };
        std::string many;
        for (int i = 0; i < 40; ++i) {
            many += "1;a=" + std::string(4000, 'b') + "\r\nx\r\n";
        }
        for (const auto& chunks :
             {"10000000000000005\r\nhello\r\n0\r\n\r\n"s, "ffffffffffffffff\r\nhello\r\n0\r\n\r\n"s,
              "+5\r\nhello\r\n0\r\n\r\n"s, "-5\r\nhello\r\n0\r\n\r\n"s,
              "0x5\r\nhello\r\n0\r\n\r\n"s, "\r\nhello\r\n0\r\n\r\n"s, "5\nhello\r\n0\r\n\r\n"s,
              "5\r\nhello0\r\n\r\n"s, "4\r\nhello\r\n0\r\n\r\n"s, "5 \r\nhello\r\n0\r\n\r\n"s,
              "5;\r\nhello\r\n0\r\n\r\n"s, "5;a=\"\n\"\r\nhello\r\n0\r\n\r\n"s,
              "5;a=\"\0\"\r\nhello\r\n0\r\n\r\n"s, "5\r\nhello\r\n0;a=\"\n\"\r\n\r\n"s,
              many + "0\r\n\r\n", "5;a=" + std::string(100000, 'b') + "\r\nhello\r\n0\r\n\r\n",
              "5\r\nhello\r\n0\r\nX-Note: " + std::string(100000, 'b') + "\r\n\r\n"}) {
            assert_refused(chunked(chunks), chunks.substr(0, 40));
        }
    }

    void clear_requests_in_one_packet_run_once_each()
    {
        start();
        const auto reply =
            answers(fleet_->gateways[0],
                    head("p1", "Content-Length: 5, 5\r\n\r\nhello") +
                        head("p2", "Transfer-Encoding: Chunked\r\n\r\n5;a=b;c=\"d\"\r\nhello\r\n"
                                   "05\r\n, you\r\n0\r\n\r\n") +
                        head("p3", "X-Note: a\r\n  Transfer-Encoding: chunked\r\n"
                                   "Content-Length: 2\r\n\r\nhi") +
                        last_request("p4"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reply, std::size_t{4}, count_of(reply, "HTTP/1.1 200"));
        const auto record = runs();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, record.size());
        const std::vector<std::string> bodies{"hello", "hello, you", "hi", ""};
        for (std::size_t i = 0; i < bodies.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(fmt::format("p{}", i + 1), record[i]["id"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(bodies[i], record[i]["body"].get<std::string>());
        }
        // A folded line is a part of the value before it.
        CPPUNIT_ASSERT_EQUAL("a Transfer-Encoding: chunked"s,
                             record[2]["headers"]["X-Note"].get<std::string>());
    }

    // Guards against a name that no log line, no message to a sidecar and no order can hold.
    void names_that_are_not_utf8_are_refused_by_field()
    {
        start();
        const auto request = [](const std::string& target, const std::string& host,
                                const std::string& id, const std::string& key,
                                const std::string& more) {
            return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\n"
                               "Deadline-Ms: 5000\r\nAuthorization: Token {}\r\n{}"
                               "Content-Length: 0\r\nConnection: close\r\n\r\n",
                               target, host, id, key, more);
        };
        const std::string path = "/unsafe/note";
        const std::string host = "a.example";
        const std::string key = "key-1";
        const std::vector<std::pair<std::string, std::string>> cases{
            {"target", request("/unsafe/\xe9", host, "out", key, "")},
            {"target", request("/unsafe/note?q=\xff", host, "out", key, "")},
            {"Host", request(path, "\xe9.example", "out", key, "")},
            {"Request-Id", request(path, host, "out\xe9", key, "")},
            {"Authorization", request(path, host, "out", "key-\xe9", "")},
            {"Model", request("/stream/x", host, "out", key, "Model: base/\xe9\r\n")},
            {"Model", request("/stream/x", host, "out", key, "Model: base/\xed\xa0\x80\r\n")},
            {"Prompt-Prefix", request(path, host, "out", key, "Prompt-Prefix: \xc0\xaf:5\r\n")},
            {"Resumes", request(path, host, "out", key, "Resumes: \xe9\r\n")},
        };
        for (const auto& [name, bytes] : cases) {
            const auto reply = assert_answered_without_run(bytes, name);
            CPPUNIT_ASSERT_MESSAGE(name + reply, reply.starts_with("HTTP/1.1 400"));
            CPPUNIT_ASSERT_MESSAGE(name + reply, reply.ends_with(name + ": must be UTF-8\n"));
            CPPUNIT_ASSERT_MESSAGE(name, is_utf8(reply));
        }
        const auto reply = answers(fleet_->gateways[0], request("/unsafe/\xc3\xa9", host, "in", key,
                                                                "Prompt-Prefix: \xc3\xa9:5\r\n"));
        CPPUNIT_ASSERT_MESSAGE(reply, reply.starts_with("HTTP/1.1 200"));
    }

    // Guards against memory that a caller takes by naming a length.
    void named_length_reserves_no_memory()
    {
        start();
        static constexpr std::size_t body_bytes = 64UL * 1024 * 1024;
        constexpr int heads = 32;
        constexpr long most_growth_kb = 1024L * 1024;
        CPPUNIT_ASSERT(fleet_->change_config(
            [](auto& config) { config["limits"]["max_body_bytes"] = body_bytes; }));
        const auto bytes = head("out", fmt::format("Content-Length: {}\r\n"
                                                   "Expect: 100-continue\r\n\r\n",
                                                   body_bytes)) +
                           "x";
        std::vector<std::unique_ptr<raw_caller>> callers;
        // The interim answer shows that the head, and the first byte of the body that came with it,
        // were read under the new limit.
        const auto is_read = [&] {
            callers.push_back(std::make_unique<raw_caller>(fleet_->gateways[0].address));
            return callers.back()->send(bytes) &&
                   callers.back()->read_some(4096).starts_with("HTTP/1.1 100");
        };
        CPPUNIT_ASSERT(wait_until(is_read));
        const auto before = virtual_memory_kb(*fleet_->gateways[0].process);
        for (int i = 0; i < heads; ++i) {
            CPPUNIT_ASSERT(is_read());
        }
        const auto growth = virtual_memory_kb(*fleet_->gateways[0].process) - before;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} kB", growth), growth < most_growth_kb);
    }

private:
    void start()
    {
        fleet_ = std::make_unique<gateway_fleet>(
            gateway_fleet_options{.gateways = 1, .engines = 1, .services = 1});
        CPPUNIT_ASSERT(fleet_->wait_until_ready());
    }

    nlohmann::json runs() const { return fleet_->runs(fleet_->services[0])["runs"]; }

    // One refusal, then the end of the connection; no request of `bytes` reaches a worker.
    void assert_refused(const std::string& bytes, const std::string& name)
    {
        const auto reply = assert_answered_without_run(bytes, name);
        CPPUNIT_ASSERT_MESSAGE(name + reply, reply.find("Connection: close\r\n") != reply.npos);
    }

    std::string assert_answered_without_run(const std::string& bytes, const std::string& name)
    {
        const auto before = runs().size();
        auto reply = answers(fleet_->gateways[0], bytes);
        CPPUNIT_ASSERT_MESSAGE(name + reply, reply.starts_with("HTTP/1.1 4"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name + reply, std::size_t{1}, count_of(reply, "HTTP/1.1 "));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, before, runs().size());
        return reply;
    }

    std::unique_ptr<gateway_fleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_framing_test);

} // namespace snipespar::testing
