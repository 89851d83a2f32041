#include "net/http_client.h"

#include "process/support/broken_peer.h"
#include "process/support/raw_upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace snipespar::net {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;
using testing::raw_answer;
using testing::raw_upstream;
using response = absl::StatusOr<http_client::response>;

constexpr std::size_t max_body_bytes = 1024UL * 1024;
constexpr auto timeout = std::chrono::seconds(5);

// One call of either kind: with a limit for all of it, or for silence.
asio::awaitable<void> call(http_client& client, bool is_large, std::optional<response>& result)
{
    http_client::request message{http::verb::get, "/x", 11};
    if (is_large) {
        result = co_await client.call(std::move(message), {timeout, timeout}, [] { return true; });
    }
    else {
        result = co_await client.call(std::move(message), timeout);
    }
}

response answer_to_call(const raw_upstream& server, bool is_large)
{
    asio::io_context context;
    http_client client(server.address().ip, server.address().port, max_body_bytes);
    std::optional<response> result;
    asio::co_spawn(context, call(client, is_large, result), asio::detached);
    context.run_for(timeout);
    CPPUNIT_ASSERT(result.has_value());
    return *std::move(result);
}

} // namespace

/// The client of the store and of engines, at servers that send what they should not.
class net_http_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(net_http_client_test);
    CPPUNIT_TEST(sound_responses_are_read);
    CPPUNIT_TEST(broken_head_is_a_failure);
    CPPUNIT_TEST(response_without_a_length_is_not_ended_by_a_reset);
    CPPUNIT_TEST(connection_is_used_again_after_a_sound_response_only);
    CPPUNIT_TEST_SUITE_END();

public:
    void sound_responses_are_read()
    {
        for (const bool is_large : {false, true}) {
            for (const auto& [parts, end] :
                 {std::pair(
                      std::vector<std::string>{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall"},
                      raw_answer::end::none),
                  std::pair(std::vector<std::string>{"HTTP/1.1 200 O", "K\r\nContent-Le",
                                                     "ngth: 3\r\n\r", "\na", "ll"},
                            raw_answer::end::none),
                  std::pair(
                      std::vector<std::string>{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                                               "\r\n1\r\na\r\n2;x=y\r\nll\r\n0\r\nX-A: y\r\n\r\n"},
                      raw_answer::end::none),
                  std::pair(std::vector<std::string>{"HTTP/1.1 200 OK\r\n\r\n", "al", "l"},
                            raw_answer::end::in_order)}) {
                const raw_upstream server({parts, end});
                const auto reply = answer_to_call(server, is_large);
                CPPUNIT_ASSERT_MESSAGE(parts.front(), reply.ok());
                CPPUNIT_ASSERT_EQUAL(200U, reply->result_int());
                CPPUNIT_ASSERT_EQUAL(std::string("all"), reply->body());
            }
        }
    }

    // Guards against lists and reports that are framed by a line of another field, and statuses
    // that no one defines.
    void broken_head_is_a_failure()
    {
        for (const bool is_large : {false, true}) {
            for (const std::string head : {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n",
                                           "HTTP/1.1 200 OK\r\nX-A: y\r\n z\r\n",
                                           "HTTP/1.1 200 OK\r\nX-A: y\r\n Content-Length: 2\r\n",
                                           "HTTP/1.1 200 OK\r\nX A: y\r\n"}) {
                const raw_upstream server({{head + "Content-Length: 3\r\n\r\nall"}});
                CPPUNIT_ASSERT_MESSAGE(head,
                                       absl::IsUnknown(answer_to_call(server, is_large).status()));
            }
            const raw_upstream server(
                {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall"
                  "\r\n0\r\nX-A: y\r\n z\r\n\r\n"}});
            CPPUNIT_ASSERT(absl::IsUnknown(answer_to_call(server, is_large).status()));
        }
    }

    // Guards against a part of a list that is taken for all of it.
    void response_without_a_length_is_not_ended_by_a_reset()
    {
        for (const bool is_large : {false, true}) {
            for (const bool ends_sending_first : {false, true}) {
                asio::io_context context;
                tcp::acceptor acceptor(context,
                                       tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
                http_client client("127.0.0.1", acceptor.local_endpoint().port(), max_body_bytes);
                tcp::socket peer(context);
                acceptor.async_accept(peer, [](const auto& /*error*/) {});
                std::optional<response> result;
                asio::co_spawn(context, call(client, is_large, result), asio::detached);
                context.run_for(milliseconds(100));
                testing::send_and_reset(peer, "HTTP/1.1 200 OK\r\n\r\npart", ends_sending_first);
                context.restart();
                context.run_for(timeout);
                CPPUNIT_ASSERT(result.has_value());
                CPPUNIT_ASSERT(absl::IsUnknown(result->status()));
            }
        }
    }

    void connection_is_used_again_after_a_sound_response_only()
    {
        asio::io_context context;
        raw_upstream server({{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall"}});
        http_client client(server.address().ip, server.address().port, max_body_bytes);
        const auto status = [&] {
            std::optional<response> result;
            asio::co_spawn(context, call(client, false, result), asio::detached);
            context.restart();
            context.run_for(timeout);
            CPPUNIT_ASSERT(result.has_value());
            return result->status();
        };
        CPPUNIT_ASSERT(status().ok());
        server.set_answer({{"HTTP/1.1 200 OK\r\nX-A: y\r\n z\r\nContent-Length: 3\r\n\r\nall"}});
        CPPUNIT_ASSERT(absl::IsUnknown(status()));
        server.set_answer({{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall"}});
        CPPUNIT_ASSERT(status().ok());
        CPPUNIT_ASSERT_EQUAL(3, server.requests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(net_http_client_test);

} // namespace snipespar::net
