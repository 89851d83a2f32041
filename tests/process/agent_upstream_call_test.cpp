#include "agent/upstream_call.h"

#include "process/support/broken_peer.h"
#include "process/support/raw_upstream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace snipespar::agent {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using testing::raw_answer;
using testing::raw_upstream;

constexpr auto limit = std::chrono::seconds(5);

// What one call has emitted.
struct outcome {
    std::string body;
    std::string failure;
    bool is_done = false;
    bool has_head = false;
};

std::shared_ptr<upstream_call> begin_call(asio::io_context& context,
                                          const upstream_address& upstream, outcome& result,
                                          std::string body = {})
{
    link::run_request request;
    request.method = body.empty() ? "GET" : "POST";
    request.body = std::move(body);
    request.path = "/x";
    request.window_bytes = 1'000'000;
    auto call = std::make_shared<upstream_call>(
        context.get_executor(), upstream, request, "", [&result](const link::frame& frame) {
            if (const auto* chunk = std::get_if<link::body_chunk>(&frame)) {
                result.body += chunk->bytes;
            }
            else if (const auto* failed = std::get_if<link::failed>(&frame)) {
                result.failure = failed->reason;
            }
            result.is_done = result.is_done || std::holds_alternative<link::done>(frame);
            result.has_head = result.has_head || std::holds_alternative<link::response_head>(frame);
        });
    call->start([] {});
    return call;
}

outcome call(const std::vector<std::string>& parts, raw_answer::end end = raw_answer::end::none)
{
    asio::io_context context;
    const raw_upstream upstream({parts, end});
    outcome result;
    const auto running =
        begin_call(context, {upstream.address().ip, upstream.address().port}, result);
    context.run_for(limit);
    return result;
}

} // namespace

/// Calls of an agent to an upstream that sends what it should not.
class agent_upstream_call_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(agent_upstream_call_test);
    CPPUNIT_TEST(sound_answers_are_passed_on);
    CPPUNIT_TEST(broken_head_is_a_failure);
    CPPUNIT_TEST(answer_without_a_length_is_not_ended_by_a_reset);
    CPPUNIT_TEST(answer_without_a_length_is_not_ended_before_its_request_has_arrived);
    CPPUNIT_TEST_SUITE_END();

public:
    void sound_answers_are_passed_on()
    {
        const auto framed = call({"HTTP/1.1 200 O", "K\r\nContent-Length: 3\r\n\r\na", "ll"});
        CPPUNIT_ASSERT(framed.is_done && framed.has_head);
        CPPUNIT_ASSERT_EQUAL(std::string("all"), framed.body);
        const auto chunked = call({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
                                   "2;x=y\r\nll\r\n",
                                   "0\r\nX-A: y\r\n\r\n"});
        CPPUNIT_ASSERT(chunked.is_done);
        CPPUNIT_ASSERT_EQUAL(std::string("all"), chunked.body);
        const auto ended = call({"HTTP/1.1 200 OK\r\n\r\n", "all"}, raw_answer::end::in_order);
        CPPUNIT_ASSERT(ended.is_done);
        CPPUNIT_ASSERT_EQUAL(std::string("all"), ended.body);
        const std::string large(200'000, 'x');
        const auto long_answer =
            call({"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + large});
        CPPUNIT_ASSERT(long_answer.is_done);
        CPPUNIT_ASSERT(long_answer.body == large);
    }

    void broken_head_is_a_failure()
    {
        for (const std::string head :
             {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 200 OK\r\nX-A: y\r\n z\r\n",
              "HTTP/1.1 200 OK\r\nX-A: y\r\n Content-Length: 2\r\n",
              "HTTP/1.1 200 OK\r\nX A: y\r\n"}) {
            const auto broken = call({head + "Content-Length: 3\r\n\r\nall"});
            CPPUNIT_ASSERT_MESSAGE(head, !broken.is_done && !broken.has_head);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, std::string("upstream_bad_answer"), broken.failure);
        }
    }

    // Guards against a part that looks complete, as the upstream ended its sending while the upload
    // waited in the sockets. A refusal need not wait for it.
    void answer_without_a_length_is_not_ended_before_its_request_has_arrived()
    {
        for (const bool is_refusal : {false, true}) {
            asio::io_context context;
            tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            tcp::socket peer(context);
            acceptor.async_accept(peer, [](const auto& /*error*/) {});
            outcome result;
            // The sending socket takes all of it, the receiving one only a part.
            const auto running =
                begin_call(context, {"127.0.0.1", acceptor.local_endpoint().port()}, result,
                           std::string(400'000, 'u'));
            context.run_for(milliseconds(100));
            const std::string status = is_refusal ? "413 Content Too Large" : "200 OK";
            asio::write(peer, asio::buffer("HTTP/1.1 " + status + "\r\n\r\npart"));
            peer.shutdown(tcp::socket::shutdown_send);
            context.restart();
            context.run_for(limit);
            CPPUNIT_ASSERT_EQUAL(is_refusal, result.is_done);
            CPPUNIT_ASSERT_EQUAL(is_refusal, result.failure.empty());
        }
    }

    // Guards against a part of an answer that callers get as the whole.
    void answer_without_a_length_is_not_ended_by_a_reset()
    {
        for (const bool ends_sending_first : {false, true}) {
            asio::io_context context;
            tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            tcp::socket peer(context);
            acceptor.async_accept(peer, [](const auto& /*error*/) {});
            outcome result;
            const auto running =
                begin_call(context, {"127.0.0.1", acceptor.local_endpoint().port()}, result);
            context.run_for(milliseconds(100));
            testing::send_and_reset(peer, "HTTP/1.1 200 OK\r\n\r\npart", ends_sending_first);
            context.restart();
            context.run_for(limit);
            CPPUNIT_ASSERT(!result.is_done);
            CPPUNIT_ASSERT_EQUAL(std::string("upstream_closed"), result.failure);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_upstream_call_test);

} // namespace snipespar::agent
