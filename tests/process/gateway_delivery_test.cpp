#include "process/support/descriptor_needs.h"
#include "process/support/gateway_fleet.h"
#include "process/support/raw_caller.h"
#include "process/support/wait_until.h"

#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace snipespar::testing {

namespace {

using std::chrono::milliseconds;

constexpr int short_events = 8;
// Several times what the buffers of the two sockets hold.
constexpr std::size_t large_answer_bytes = 12UL * 1024 * 1024;
// Longer than the gateway waits for the load balancer to notice its stop, shorter than its grace.
constexpr milliseconds past_notice_time{4000};
// The caller reads so much at a time, often enough to count as alive.
constexpr std::size_t slow_read_bytes = 64UL * 1024;
constexpr milliseconds slow_read_interval{500};
// Shorter than the time after which a gateway gives up a silent caller.
constexpr milliseconds standstill{1200};
// Resolution of the kernel's clock of a connection.
constexpr milliseconds kernel_tick{10};

std::string to_text(const http_call& call)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\nContent-Length: {}\r\n", call.method,
                                   call.target, call.body.size());
    for (const auto& [name, value] : call.headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    return text + "\r\n" + call.body;
}

bool set_faults(const fleet_member& upstream, const std::string& faults)
{
    const auto reply = send_call(upstream.address, {"POST", "/faults", {}, faults});
    return reply.ok() && reply->status == 200;
}

int calls_in_flight(const fleet_member& gateway)
{
    const auto status = send_call(gateway.admin, {"GET", "/status", {}, {}});
    return status.ok() ? nlohmann::json::parse(status->body)["in_flight"].get<int>() : -1;
}

bool is_not_ready(const fleet_member& gateway)
{
    const auto ready = send_call(gateway.admin, {"GET", "/ready", {}, {}});
    return ready.ok() && ready->status == 503;
}

} // namespace

/// An accepted request gets its whole answer: gateways that stop, upstreams that are silent for a
/// while and callers that are slow.
class gateway_delivery_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_delivery_test);
    CPPUNIT_TEST(answer_not_written_yet_is_not_cut_by_a_stop);
    CPPUNIT_TEST(call_in_the_listen_queue_of_a_stopping_gateway_is_answered);
    CPPUNIT_TEST(request_whose_caller_left_unread_is_not_sent_on);
    CPPUNIT_TEST(time_that_passed_unread_is_taken_off_the_time_limit);
    CPPUNIT_TEST(request_whose_time_passed_unread_is_not_sent_on);
    CPPUNIT_TEST(open_requests_are_answered_before_the_end_of_the_grace);
    CPPUNIT_TEST(call_that_comes_late_in_the_grace_is_refused_at_once);
    CPPUNIT_TEST(idle_callers_do_not_use_up_the_descriptors);
#ifndef SNIPESPAR_TEST_NEEDS_DESCRIPTORS
    CPPUNIT_TEST(want_of_descriptors_is_not_held_against_upstreams);
#endif
    CPPUNIT_TEST(refusal_reaches_a_caller_that_is_still_sending);
    CPPUNIT_TEST(answer_that_is_read_slowly_outlives_the_idle_timeout);
    CPPUNIT_TEST(stream_of_a_silent_engine_goes_on_when_no_other_can_take_it);
    CPPUNIT_TEST(call_at_a_silent_upstream_is_answered_when_no_other_can_take_it);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stopping gateway that exits while an answer waits for its caller to read.
    void answer_not_written_yet_is_not_cut_by_a_stop()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(set_faults(fleet.services[0],
                                  fmt::format(R"({{"answer_bytes": {}}})", large_answer_bytes)));
        const auto& gateway = fleet.gateways.front();
        raw_caller caller(gateway.address);
        CPPUNIT_ASSERT(caller.send(to_text(fleet.make_call("/unsafe/x", "l1"))));
        CPPUNIT_ASSERT(wait_until([&] {
            return !fleet.runs(fleet.services[0])["runs"].empty() && calls_in_flight(gateway) == 0;
        }));
        gateway.process->signal(SIGTERM);
        const auto answer = read_slowly(caller) + caller.read_to_end();
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
        const auto head_bytes = answer.find("\r\n\r\n") + 4;
        CPPUNIT_ASSERT_EQUAL(large_answer_bytes, answer.size() - head_bytes);
        CPPUNIT_ASSERT(gateway.process->wait() == 0);
        CPPUNIT_ASSERT(gateway.process->output().find("forced=false") != std::string::npos);
    }

    // Guards against a stopping gateway that closes its listener over connections that it has not
    // accepted yet.
    void call_in_the_listen_queue_of_a_stopping_gateway_is_answered()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& gateway = fleet.gateways.front();
        gateway.process->signal(SIGTERM);
        CPPUNIT_ASSERT(wait_until([&] { return is_not_ready(gateway); }));
        std::this_thread::sleep_for(milliseconds(2000));
        gateway.process->signal(SIGSTOP);
        raw_caller caller(gateway.address);
        CPPUNIT_ASSERT(caller.is_connected());
        auto call = fleet.make_call("/unsafe/x", "q1");
        // It still fits into the grace.
        call.headers["Deadline-Ms"] = "3000";
        CPPUNIT_ASSERT(caller.send(to_text(call)));
        std::this_thread::sleep_for(milliseconds(1000));
        gateway.process->signal(SIGCONT);
        CPPUNIT_ASSERT(caller.read_to_end().starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(gateway.process->wait() == 0);
        CPPUNIT_ASSERT(gateway.process->output().find("forced=false") != std::string::npos);
    }

    // Guards against a gateway behind with its work that sends on a request whose caller's close
    // lies unread behind it: GONE at restarted gateways beside a hot team.
    void request_whose_caller_left_unread_is_not_sent_on()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& gateway = fleet.gateways.front();
        // The kept connection to the upstream takes a request at once.
        CPPUNIT_ASSERT_EQUAL(
            200U, send_call(gateway.address, fleet.make_call("/unsafe/x", "w1"))->status);
        gateway.process->signal(SIGSTOP);
        {
            raw_caller caller(gateway.address);
            CPPUNIT_ASSERT(caller.send(to_text(fleet.make_call("/unsafe/x", "g1"))));
        }
        gateway.process->signal(SIGCONT);
        CPPUNIT_ASSERT(wait_until([&] {
            const auto metrics = send_call(gateway.admin, {"GET", "/metrics", {}, {}});
            return metrics.ok() && metrics->body.find("snipespar_gateway_cancellations_total 1") !=
                                       std::string::npos;
        }));
        const auto runs = fleet.runs(fleet.services[0])["runs"].dump();
        CPPUNIT_ASSERT_EQUAL(std::string::npos, runs.find("g1"));
    }

    // Guards against an upstream that is given time which has passed while the gateway stood still.
    void time_that_passed_unread_is_taken_off_the_time_limit()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        const auto answer = call_during_standstill(fleet, milliseconds(3000));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
        const auto runs = fleet.runs(fleet.services[0])["runs"];
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
        const auto given = std::stoi(runs[0]["headers"]["Deadline-Ms"].get<std::string>());
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", given),
                               milliseconds(given) <=
                                   milliseconds(3000) - standstill + kernel_tick);
    }

    // Guards against work for a caller whose time limit passed while the gateway stood still.
    void request_whose_time_passed_unread_is_not_sent_on()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        const auto answer = call_during_standstill(fleet, standstill / 2);
        CPPUNIT_ASSERT_MESSAGE(answer, !answer.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(fleet.runs(fleet.services[0])["runs"].empty());
    }

    // Guards against requests that are cut off without an answer at the end of a planned stop.
    void open_requests_are_answered_before_the_end_of_the_grace()
    {
        gateway_fleet fleet(
            {.gateways = 1, .engines = 1, .services = 1, .gateway_arguments = {"--stop-grace=4s"}});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(set_faults(fleet.services[0], R"({"pause_ms": 20000})"));
        CPPUNIT_ASSERT(set_faults(fleet.engines[0], R"({"pause_ms": 20000})"));
        const auto& gateway = fleet.gateways.front();
        raw_caller running(gateway.address);
        CPPUNIT_ASSERT(running.send(to_text(fleet.make_call("/unsafe/x", "u1"))));
        raw_caller streaming(gateway.address);
        auto stream = fleet.make_call("/stream/x", "s1");
        stream.headers["Model"] = "base";
        CPPUNIT_ASSERT(streaming.send(to_text(stream)));
        raw_caller sending(gateway.address);
        const auto incomplete = to_text(fleet.make_call("/unsafe/x", "u2"));
        CPPUNIT_ASSERT(sending.send(incomplete.substr(0, incomplete.size() - 1)));
        CPPUNIT_ASSERT(wait_until([&] { return calls_in_flight(gateway) == 2; }));
        gateway.process->signal(SIGTERM);
        CPPUNIT_ASSERT(running.read_to_end().starts_with("HTTP/1.1 502 "));
        CPPUNIT_ASSERT(sending.read_to_end().starts_with("HTTP/1.1 503 "));
        const auto broken = streaming.read_to_end();
        CPPUNIT_ASSERT_MESSAGE(broken, broken.starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT_MESSAGE(broken, !broken.ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT(gateway.process->wait() == 0);
    }

    // Guards against requests that are taken late in the grace and cut off at its end.
    void call_that_comes_late_in_the_grace_is_refused_at_once()
    {
        gateway_fleet fleet(
            {.gateways = 1, .engines = 1, .services = 1, .gateway_arguments = {"--stop-grace=4s"}});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& gateway = fleet.gateways.front();
        // Connections on which a request has begun are not closed as idle ones are.
        raw_caller plain(gateway.address);
        raw_caller streaming(gateway.address);
        const auto call = to_text(fleet.make_call("/unsafe/x", "u1"));
        const auto stream = to_text(fleet.make_call("/stream/x", "s1"));
        CPPUNIT_ASSERT(plain.send(call.substr(0, call.size() - 1)));
        CPPUNIT_ASSERT(streaming.send(stream.substr(0, stream.size() - 1)));
        gateway.process->signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(2500));
        CPPUNIT_ASSERT(plain.send(call.substr(call.size() - 1)));
        CPPUNIT_ASSERT(streaming.send(stream.substr(stream.size() - 1)));
        for (auto* caller : {&plain, &streaming}) {
            const auto answer = caller->read_to_end();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("gateway_stopping") != std::string::npos);
        }
        CPPUNIT_ASSERT(fleet.runs(fleet.services[0])["runs"].empty());
        CPPUNIT_ASSERT(fleet.runs(fleet.engines[0])["runs"].empty());
    }

    // Guards against callers without an answer because idle ones hold all descriptors.
    void idle_callers_do_not_use_up_the_descriptors()
    {
        constexpr std::size_t descriptors = 256;
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        auto& gateway = fleet.gateways.front();
        gateway.start.max_descriptors = descriptors;
        gateway.process.reset();
        gateway.restart();
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        std::vector<std::unique_ptr<raw_caller>> idle;
        idle.reserve(2 * descriptors);
        for (std::size_t i = 0; i < 2 * descriptors; ++i) {
            idle.push_back(std::make_unique<raw_caller>(gateway.address));
        }
        for (int i = 0; i < 8; ++i) {
            CPPUNIT_ASSERT_EQUAL(
                200U, send(gateway, fleet.make_call("/unsafe/x", fmt::format("u{}", i))).status);
        }
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(gateway.process->output().find("too_many_callers") != std::string::npos);
    }

    // Guards against sound upstreams that are avoided, or taken for crashed, because a gateway had
    // no descriptor to connect to them.
    void want_of_descriptors_is_not_held_against_upstreams()
    {
        constexpr std::size_t descriptors = 64;
        constexpr int callers = 40;
        constexpr std::size_t status_line_bytes = std::string_view("HTTP/1.1 200").size();
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        auto& gateway = fleet.gateways.front();
        gateway.start.max_descriptors = descriptors;
        gateway.process.reset();
        gateway.restart();
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        std::vector<std::unique_ptr<raw_caller>> open;
        open.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            open.push_back(std::make_unique<raw_caller>(gateway.address));
            open.back()->send(to_text(fleet.make_call("/unsafe/slow/x", fmt::format("d{}", i))));
        }
        int served = 0;
        int refused = 0;
        for (auto& caller : open) {
            const auto head = caller->read_some(status_line_bytes);
            served += head.starts_with("HTTP/1.1 200") ? 1 : 0;
            refused += head.starts_with("HTTP/1.1 503") ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(callers, served + refused);
        CPPUNIT_ASSERT(served > 0 && refused > 0);
        const auto status = send_call(gateway.admin, {"GET", "/status", {}, {}});
        CPPUNIT_ASSERT(status.ok());
        const auto upstreams = nlohmann::json::parse(status->body)["upstreams"];
        CPPUNIT_ASSERT_EQUAL(0.0, upstreams.at(0)["failure_rate"].get<double>());
        CPPUNIT_ASSERT(gateway.process->output().find("connections_used_up") != std::string::npos);
    }

    // Guards against a connection that is reset under its refusal because bytes were left unread.
    void refusal_reaches_a_caller_that_is_still_sending()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        auto call = fleet.make_call("/unsafe/x", "b1");
        call.body = std::string(std::size_t{4} * 1024 * 1024, 'x');
        raw_caller caller(fleet.gateways.front().address);
        CPPUNIT_ASSERT(caller.send(to_text(call)));
        CPPUNIT_ASSERT(caller.read_to_end().starts_with("HTTP/1.1 413"));
    }

    // Guards against an idle timeout that runs while the answer is still being written.
    void answer_that_is_read_slowly_outlives_the_idle_timeout()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(fleet.change_config([](nlohmann::json& config) {
            config["limits"]["idle_timeout_ms"] = 1000;
            config["routes"][1]["path_prefix"] = "/unsafe/new/";
        }));
        const auto& gateway = fleet.gateways.front();
        CPPUNIT_ASSERT(wait_until(
            [&] { return send(gateway, fleet.make_call("/unsafe/new/x", "w")).status == 200; }));
        CPPUNIT_ASSERT(set_faults(fleet.services[0],
                                  fmt::format(R"({{"answer_bytes": {}}})", large_answer_bytes)));
        raw_caller caller(gateway.address);
        CPPUNIT_ASSERT(caller.send(to_text(fleet.make_call("/unsafe/new/x", "l1"))));
        const auto answer = read_slowly(caller) + caller.read_to_end();
        const auto head_bytes = answer.find("\r\n\r\n") + 4;
        CPPUNIT_ASSERT_EQUAL(large_answer_bytes, answer.size() - head_bytes);
    }

    // Guards against a stream that is broken off because its engine was silent for a second.
    void stream_of_a_silent_engine_goes_on_when_no_other_can_take_it()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 1, .services = 0});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(fleet.change_config([](nlohmann::json& config) {
            config["routes"][0]["gap_aim_ms"] = 300;
            config["routes"][0]["path_prefix"] = "/stream/new/";
        }));
        const auto& gateway = fleet.gateways.front();
        CPPUNIT_ASSERT(wait_until(
            [&] { return send(gateway, fleet.make_call("/stream/new/x", "w")).status == 200; }));
        CPPUNIT_ASSERT(set_faults(fleet.engines[0], R"({"pause_ms": 1600})"));
        const auto stream = send(gateway, fleet.make_call("/stream/new/x", "s1"));
        CPPUNIT_ASSERT_EQUAL(200U, stream.status);
        std::string expected;
        for (int number = 1; number <= short_events; ++number) {
            expected += fmt::format("id: {0}\ndata: s1 {0}\n\n", number);
        }
        CPPUNIT_ASSERT_EQUAL(expected, stream.body);
    }

    // Guards against an answer that is replaced by a failure because its upstream was silent.
    void call_at_a_silent_upstream_is_answered_when_no_other_can_take_it()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(fleet.change_config([](nlohmann::json& config) {
            config["routes"][2]["target_latency_ms"] = 100;
            config["routes"][2]["path_prefix"] = "/safe/new/";
        }));
        const auto& gateway = fleet.gateways.front();
        CPPUNIT_ASSERT(wait_until(
            [&] { return send(gateway, fleet.make_call("/safe/new/x", "w")).status == 200; }));
        CPPUNIT_ASSERT(set_faults(fleet.services[0], R"({"pause_ms": 1200})"));
        CPPUNIT_ASSERT_EQUAL(200U, send(gateway, fleet.make_call("/safe/new/x", "s1")).status);
    }

private:
    // Sends a request with this time limit to a gateway that stands still; returns its answer.
    static std::string call_during_standstill(gateway_fleet& fleet, milliseconds limit)
    {
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& gateway = fleet.gateways.front();
        auto call = fleet.make_call("/unsafe/x", "q1");
        call.headers["Deadline-Ms"] = fmt::format("{}", limit.count());
        call.headers["Connection"] = "close";
        raw_caller caller(gateway.address);
        gateway.process->signal(SIGSTOP);
        CPPUNIT_ASSERT(caller.send(to_text(call)));
        std::this_thread::sleep_for(standstill);
        gateway.process->signal(SIGCONT);
        return caller.read_to_end();
    }

    // Reads a part of the answer over the time that a stopping gateway needs to exit.
    static std::string read_slowly(raw_caller& caller)
    {
        std::string answer;
        for (milliseconds waited{0}; waited < past_notice_time; waited += slow_read_interval) {
            std::this_thread::sleep_for(slow_read_interval);
            answer += caller.read_some(slow_read_bytes);
        }
        return answer;
    }

    // An unreachable gateway gives status 0.
    static http_reply send(const fleet_member& gateway, const http_call& call)
    {
        auto reply = send_call(gateway.address, call);
        return reply.ok() ? *std::move(reply) : http_reply{};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_delivery_test);

} // namespace snipespar::testing
