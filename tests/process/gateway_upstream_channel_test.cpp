#include "gateway/upstream_channel.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace snipespar::gateway {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto step_time = milliseconds(100);
constexpr auto piece_time = milliseconds(2);
// More than the buffers of both sockets hold.
constexpr std::size_t upload_bytes = 32UL * 1024 * 1024;
// The sending socket takes all of it, the receiving one only a part unless it is read.
constexpr std::size_t unread_upload_bytes = 400UL * 1000;

std::string head(const std::string& status_line, const std::string& id,
                 const std::string& more = {})
{
    return "HTTP/1.1 " + status_line + "\r\n" +
           (id.empty() ? std::string() : "Request-Id: " + id + "\r\n") + more + "\r\n";
}

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const auto part : parts) {
        text += part;
    }
    return text;
}

std::string answer(const std::string& id, const std::string& body)
{
    return head("200 OK", id, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

std::string refusal(const std::string& id)
{
    return head("503 Service Unavailable", id, "Not-Executed: 1\r\nContent-Length: 0\r\n");
}

// What the handler of one exchange was told.
struct outcome {
    std::vector<answer_header> headers;
    std::string body;
    bool has_ended = false;
    std::optional<absl::StatusCode> failure;

    bool is_not_run() const
    {
        return has_ended && headers.size() == 1 && headers[0].states_not_run;
    }
};

} // namespace

/// One connection to an upstream that sends what it should not.
class gateway_upstream_channel_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_upstream_channel_test);
    CPPUNIT_TEST(answers_are_matched_by_id);
    CPPUNIT_TEST(refusal_without_id_speaks_for_no_request);
    CPPUNIT_TEST(refusal_in_a_trailer_is_no_refusal);
    CPPUNIT_TEST(answer_without_id_is_a_failure);
    CPPUNIT_TEST(connection_is_not_used_for_a_request_that_it_refused);
    CPPUNIT_TEST(exchange_begun_at_the_end_of_another_reads_its_own_bytes);
    CPPUNIT_TEST(refusal_of_another_request_is_dropped);
    CPPUNIT_TEST(connection_with_an_extra_answer_is_not_kept);
    CPPUNIT_TEST(bytes_before_a_request_are_not_its_answer);
    CPPUNIT_TEST(closed_idle_connection_is_not_used);
    CPPUNIT_TEST(length_that_cannot_be_allocated_ends_its_exchange_only);
    CPPUNIT_TEST(interim_answer_is_not_the_final_one);
    CPPUNIT_TEST(unknown_transfer_coding_is_a_failure);
    CPPUNIT_TEST(answer_without_a_length_is_not_ended_by_a_reset);
    CPPUNIT_TEST(answer_without_a_length_is_not_ended_before_its_request);
    CPPUNIT_TEST(answer_without_a_length_is_not_ended_before_its_request_has_arrived);
    CPPUNIT_TEST(refusal_without_a_length_may_end_before_its_request_has_arrived);
    CPPUNIT_TEST(answer_without_a_length_is_whole_if_its_connection_ends_in_order);
    CPPUNIT_TEST(answer_with_a_stated_end_is_whole_before_a_reset);
    CPPUNIT_TEST(status_out_of_range_is_a_failure);
    CPPUNIT_TEST(broken_line_of_a_head_is_a_failure);
    CPPUNIT_TEST(broken_head_is_a_failure_wherever_it_stands);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        context_ = std::make_unique<boost::asio::io_context>();
        acceptor_ = std::make_unique<tcp::acceptor>(
            *context_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        channel_ = std::make_shared<upstream_channel>(
            context_->get_executor(),
            cli::endpoint{"127.0.0.1", acceptor_->local_endpoint().port()});
        peer_.emplace(*context_);
    }

    void tearDown() override
    {
        channel_.reset();
        peer_.reset();
        acceptor_.reset();
        context_.reset();
    }

    void answers_are_matched_by_id()
    {
        const auto first = exchange("r1", answer("r1", "one"));
        CPPUNIT_ASSERT(first.has_ended);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), first.body);
        CPPUNIT_ASSERT(channel_->is_reusable());
        CPPUNIT_ASSERT(exchange("r2", refusal("r2")).is_not_run());
    }

    // Guards against "not run" for a request that an upstream runs: it repeats an earlier refusal.
    void refusal_without_id_speaks_for_no_request()
    {
        const auto first = exchange("r1", refusal(""));
        CPPUNIT_ASSERT(!first.is_not_run());
        CPPUNIT_ASSERT(first.failure == absl::StatusCode::kUnknown);
        CPPUNIT_ASSERT(!channel_->is_reusable());
        tearDown();
        setUp();
        CPPUNIT_ASSERT(exchange("r1", refusal("r1")).is_not_run());
        const auto second = exchange("r2", refusal(""));
        CPPUNIT_ASSERT(!second.is_not_run());
        CPPUNIT_ASSERT(second.failure == absl::StatusCode::kUnknown);
        CPPUNIT_ASSERT(!channel_->is_reusable());
    }

    // Guards against "not run" for a request whose refusal comes only after the body of its answer.
    void refusal_in_a_trailer_is_no_refusal()
    {
        for (const std::string status : {"408 Timeout", "429 Busy", "503 Unavailable"}) {
            tearDown();
            setUp();
            const auto refused =
                exchange("r1", head(status, "r1", "Transfer-Encoding: chunked\r\n") +
                                   "2\r\nab\r\n0\r\nNot-Executed: 1\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(status, refused.has_ended && !refused.is_not_run());
            CPPUNIT_ASSERT_EQUAL(std::string("ab"), refused.body);
        }
    }

    // Guards against callers that wait until their time limit for an answer that was dropped.
    void answer_without_id_is_a_failure()
    {
        const auto broken = exchange("r1", head("500 Error", "", "Content-Length: 0\r\n"));
        CPPUNIT_ASSERT(broken.failure == absl::StatusCode::kUnknown);
    }

    // Guards against "not run" for a request that is sent again where it was refused: a repetition
    // of that refusal bears its id, too.
    void connection_is_not_used_for_a_request_that_it_refused()
    {
        CPPUNIT_ASSERT(exchange("r1", refusal("r1")).is_not_run());
        CPPUNIT_ASSERT(!channel_->can_take_request("r1"));
        CPPUNIT_ASSERT(channel_->can_take_request("r2"));
    }

    // Guards against two reads into one buffer, which corrupt the second answer.
    void exchange_begun_at_the_end_of_another_reads_its_own_bytes()
    {
        constexpr std::size_t size = 256UL * 1024;
        std::string body(size, ' ');
        for (std::size_t i = 0; i < size; ++i) {
            body[i] = static_cast<char>('a' + i / 7 % 26);
        }
        outcome second;
        acceptor_->async_accept(*peer_, [](const auto& /*error*/) {});
        channel_->exchange("GET / HTTP/1.1\r\n\r\n", {}, "r1", false, step_time,
                           {.header = [](const auto& /*header*/) {},
                            .body = [](auto /*text*/) {},
                            .ended =
                                [&] {
                                    channel_->exchange(
                                        "GET / HTTP/1.1\r\n\r\n", {}, "r2", false, step_time,
                                        {.header = [](const auto& /*header*/) {},
                                         .body = [&](auto text) { second.body += text; },
                                         .ended = [&] { second.has_ended = true; },
                                         .failed = [](const auto& /*status*/) {}});
                                },
                            .failed = [](const auto& /*status*/) {}});
        context_->run_for(step_time);
        boost::asio::write(*peer_, boost::asio::buffer(refusal("r1")));
        context_->restart();
        context_->run_for(step_time);
        std::thread writer([&] {
            boost::system::error_code ignored;
            boost::asio::write(*peer_, boost::asio::buffer(answer("r2", body)), ignored);
        });
        context_->restart();
        context_->run_for(5 * step_time);
        channel_->abandon();
        writer.join();
        CPPUNIT_ASSERT(second.has_ended);
        CPPUNIT_ASSERT(second.body == body);
    }

    void refusal_of_another_request_is_dropped()
    {
        exchange("r1", refusal("r1"));
        const auto second = exchange("r2", refusal("r1") + answer("r2", "two"));
        CPPUNIT_ASSERT(second.has_ended);
        CPPUNIT_ASSERT(!second.is_not_run());
        CPPUNIT_ASSERT_EQUAL(std::string("two"), second.body);
    }

    void connection_with_an_extra_answer_is_not_kept()
    {
        exchange("r1", answer("r1", "one"));
        CPPUNIT_ASSERT(exchange("r2", answer("r1", "one") + answer("r2", "two")).has_ended);
        CPPUNIT_ASSERT(!channel_->is_reusable());
    }

    // Guards against bytes on an idle connection that are read as the answer to the next request.
    void bytes_before_a_request_are_not_its_answer()
    {
        exchange("r1", answer("r1", "one"));
        CPPUNIT_ASSERT(channel_->can_take_request("r2"));
        boost::asio::write(*peer_, boost::asio::buffer(refusal("")));
        wait_for_bytes();
        CPPUNIT_ASSERT(!channel_->can_take_request("r2"));
    }

    void closed_idle_connection_is_not_used()
    {
        exchange("r1", answer("r1", "one"));
        peer_->close();
        wait_for_bytes();
        CPPUNIT_ASSERT(!channel_->can_take_request("r2"));
    }

    // Guards against gateways that end because an upstream names a length.
    void length_that_cannot_be_allocated_ends_its_exchange_only()
    {
        for (const std::string length : {"9223372036854775000", "1000000000000"}) {
            tearDown();
            setUp();
            const auto broken =
                exchange("r1", head("200 OK", "r1", "Content-Length: " + length + "\r\n") + "x");
            CPPUNIT_ASSERT(!broken.has_ended);
            peer_->close();
            context_->restart();
            context_->run_for(step_time);
            CPPUNIT_ASSERT(current_.failure == absl::StatusCode::kUnknown);
        }
    }

    void interim_answer_is_not_the_final_one()
    {
        const auto only = exchange("r1", head("103 Early Hints", "r1") + answer("r1", "one"));
        CPPUNIT_ASSERT(only.has_ended);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only.headers.size());
        CPPUNIT_ASSERT_EQUAL(200U, only.headers[0].status);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), only.body);
    }

    void unknown_transfer_coding_is_a_failure()
    {
        for (const std::string coding : {"gzip", "chunked, identity", "xchunked", "identity"}) {
            tearDown();
            setUp();
            const auto broken =
                exchange("r1", head("200 OK", "r1", "Transfer-Encoding: " + coding + "\r\n") + "x");
            CPPUNIT_ASSERT_MESSAGE(coding, broken.failure == absl::StatusCode::kUnknown);
        }
    }

    // Guards against a part of an answer that callers get as the whole: the write of the request
    // takes the error of the connection, and the read after it sees a plain end.
    void answer_without_a_length_is_not_ended_by_a_reset()
    {
        for (const std::size_t body_bytes : {std::size_t{0}, std::size_t{1000}, upload_bytes}) {
            for (const bool ends_sending_first : {false, true}) {
                const auto broken = upload(body_bytes, head("200 OK", "r1") + "part", [&] {
                    if (ends_sending_first) {
                        peer_->shutdown(tcp::socket::shutdown_send);
                    }
                    peer_->set_option(boost::asio::socket_base::linger(true, 0));
                    peer_->close();
                });
                const auto name = "body of " + std::to_string(body_bytes) +
                                  (ends_sending_first ? ", end first" : "");
                CPPUNIT_ASSERT_MESSAGE(name, !broken.has_ended);
                CPPUNIT_ASSERT_MESSAGE(name, broken.failure == absl::StatusCode::kUnknown);
            }
        }
    }

    void answer_without_a_length_is_not_ended_before_its_request()
    {
        const auto doubtful = upload(upload_bytes, head("200 OK", "r1") + "part",
                                     [&] { peer_->shutdown(tcp::socket::shutdown_send); });
        CPPUNIT_ASSERT(!doubtful.has_ended);
        CPPUNIT_ASSERT(doubtful.failure == absl::StatusCode::kUnknown);
    }

    // Guards against a part that looks complete: an upstream in trouble ends its sending while the
    // upload waits in the sockets, and resets the connection only after that end was read.
    void answer_without_a_length_is_not_ended_before_its_request_has_arrived()
    {
        for (const std::string status : {"200 OK", "201 Created"}) {
            const auto doubtful = upload(unread_upload_bytes, head(status, "r1") + "part",
                                         [&] { peer_->shutdown(tcp::socket::shutdown_send); });
            CPPUNIT_ASSERT_MESSAGE(status, !doubtful.has_ended);
            CPPUNIT_ASSERT_MESSAGE(status, doubtful.failure == absl::StatusCode::kUnknown);
        }
    }

    // An upstream that refuses an upload need not read it.
    void refusal_without_a_length_may_end_before_its_request_has_arrived()
    {
        const auto refused =
            upload(unread_upload_bytes, head("413 Content Too Large", "r1") + "too large",
                   [&] { peer_->shutdown(tcp::socket::shutdown_send); });
        CPPUNIT_ASSERT(refused.has_ended);
        CPPUNIT_ASSERT_EQUAL(std::string("too large"), refused.body);
    }

    void answer_without_a_length_is_whole_if_its_connection_ends_in_order()
    {
        for (const std::size_t body_bytes :
             {std::size_t{0}, std::size_t{1000}, unread_upload_bytes}) {
            const auto whole = upload(body_bytes, head("200 OK", "r1") + "all", [&] {
                read_request(body_bytes);
                peer_->close();
            });
            CPPUNIT_ASSERT(whole.has_ended);
            CPPUNIT_ASSERT_EQUAL(std::string("all"), whole.body);
        }
    }

    // Guards against ready answers that are not delivered.
    void answer_with_a_stated_end_is_whole_before_a_reset()
    {
        for (const auto& bytes :
             {answer("r1", "all"),
              head("200 OK", "r1", "Transfer-Encoding: chunked\r\n") + "3\r\nall\r\n0\r\n\r\n"}) {
            const auto whole = upload(upload_bytes, bytes, [&] {
                peer_->set_option(boost::asio::socket_base::linger(true, 0));
                peer_->close();
            });
            CPPUNIT_ASSERT(whole.has_ended);
            CPPUNIT_ASSERT_EQUAL(std::string("all"), whole.body);
            CPPUNIT_ASSERT(!channel_->is_reusable());
        }
    }

    // Guards against answers with a status that no one defines, and callers that wait for the final
    // answer behind a status below 100.
    void status_out_of_range_is_a_failure()
    {
        for (const std::string line : {"000 Trouble", "001 Trouble", "099 Trouble", "600 Trouble",
                                       "700 Trouble", "999 Trouble"}) {
            assert_broken(head(line, "r1", "Content-Length: 0\r\n"), line);
        }
        for (const std::string line : {"200 ", "299 Fine", "404 Not here", "599 Trouble"}) {
            tearDown();
            setUp();
            const auto sound = exchange("r1", head(line, "r1", "Content-Length: 0\r\n"));
            CPPUNIT_ASSERT_MESSAGE(line, sound.has_ended);
        }
    }

    // Guards against fields that are passed on joined, or that frame the body.
    void broken_line_of_a_head_is_a_failure()
    {
        using std::string_literals::operator""s;
        const std::array<std::string, 3> ends{
            "Content-Length: 2\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            "Connection: close\r\n\r\nab"};
        std::size_t number = 0;
        for (const auto& line :
             {" X-A: y"s, "\tX-A: y"s, " Content-Length: 7"s, "\tTransfer-Encoding: chunked"s, " "s,
              "X A: y"s, "X\tA: y"s, "X\1Y: y"s, "X\0A: y"s, "X\177Y: y"s, "X-A : y"s, "X-A\t: y"s,
              ": y"s, "X-A"s, "X\351: y"s, "X(A): y"s, "X-A: a\0b"s, "X-A: a\1b"s}) {
            const auto& end = ends.at(number++ % ends.size());
            const std::string status_line = "HTTP/1.1 200 OK\r\n";
            const std::string id = "Request-Id: r1\r\n";
            assert_broken(joined({status_line, id, line, "\r\n", end}), line);
            assert_broken(joined({status_line, line, "\r\n", id, end}), line);
        }
    }

    // Heads in pieces, on a kept connection, interim ones and those of earlier requests, and
    // trailers.
    void broken_head_is_a_failure_wherever_it_stands()
    {
        const auto broken = head("200 OK", "r1", "X-A: y\r\n Content-Length: 2\r\n") + "ab";
        assert_broken(broken, "in pieces", true);
        assert_broken(head("103 Early Hints", "r1") + broken, "behind an interim one");
        assert_broken(head("103 Early Hints", "r1", "X-A: y\r\n b\r\n") + answer("r1", "one"),
                      "interim");
        assert_broken(head("200 OK", "r0", "Content-Length: 0\r\nX-A: y\r\n b\r\n") +
                          answer("r1", "one"),
                      "of another request");
        for (const std::string trailer : {"X-A: y\r\n b\r\n", " X-A: y\r\n", "X A: y\r\n"}) {
            for (const std::string chunks : {"", "2\r\nab\r\n", "2\r\nab\r\n3;x=y\r\ncde\r\n"}) {
                for (const bool in_pieces : {false, true}) {
                    const auto start = head("200 OK", "r1", "Transfer-Encoding: chunked\r\n");
                    assert_broken(joined({start, chunks, "0\r\n", trailer, "\r\n"}), trailer,
                                  in_pieces);
                }
            }
        }
        tearDown();
        setUp();
        CPPUNIT_ASSERT(exchange("r1", answer("r1", "one")).has_ended);
        const auto kept = exchange("r2", head("999 Trouble", "r2", "Content-Length: 0\r\n"));
        CPPUNIT_ASSERT(kept.failure == absl::StatusCode::kUnknown);
        // Sound ones in pieces.
        for (const auto& bytes :
             {answer("r1", "one"), head("200 OK", "r1", "Transfer-Encoding: chunked\r\n") +
                                       "1\r\no\r\n2;x=y\r\nne\r\n0\r\nX-A: y\r\n\r\n"}) {
            tearDown();
            setUp();
            const auto whole = exchange("r1", head("103 Early Hints", "r1") + bytes, true);
            CPPUNIT_ASSERT(whole.has_ended);
            CPPUNIT_ASSERT_EQUAL(std::string("one"), whole.body);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, whole.headers.size());
        }
    }

private:
    // An answer that fails as broken, without a header or with one before broken trailers.
    void assert_broken(const std::string& bytes, const std::string& name, bool in_pieces = false)
    {
        tearDown();
        setUp();
        exchange("r1", bytes, in_pieces);
        CPPUNIT_ASSERT_MESSAGE(name, !current_.has_ended);
        CPPUNIT_ASSERT_MESSAGE(name, current_.failure == absl::StatusCode::kUnknown);
        CPPUNIT_ASSERT_MESSAGE(name, !channel_->is_reusable());
    }

    // Sends a request with a body on a new connection. The upstream writes these bytes and ends the
    // connection its way, before the gateway handles either.
    outcome upload(std::size_t body_bytes, const std::string& bytes,
                   const std::function<void()>& end_connection)
    {
        tearDown();
        setUp();
        current_ = {};
        acceptor_->async_accept(*peer_, [](const auto& /*error*/) {});
        auto body = std::make_shared<const std::string>(body_bytes, 'u');
        channel_->exchange(
            "POST / HTTP/1.1\r\nRequest-Id: r1\r\nContent-Length: " + std::to_string(body_bytes) +
                "\r\n\r\n",
            std::move(body), "r1", false, step_time,
            {.header = [this](const auto& item) { current_.headers.push_back(item); },
             .body = [this](auto text) { current_.body += text; },
             .ended = [this] { current_.has_ended = true; },
             .failed = [this](const auto& status) { current_.failure = status.code(); }});
        context_->restart();
        context_->run_for(step_time);
        boost::asio::write(*peer_, boost::asio::buffer(bytes));
        end_connection();
        wait_for_bytes();
        context_->restart();
        context_->run_for(step_time);
        return current_;
    }

    // Has the upstream read a whole request with a body of this size.
    void read_request(std::size_t body_bytes)
    {
        std::string request;
        while (request.find("\r\n\r\n") == std::string::npos ||
               request.size() - request.find("\r\n\r\n") - 4 < body_bytes) {
            std::string part(peer_->available(), ' ');
            peer_->read_some(boost::asio::buffer(part));
            request += part;
            context_->restart();
            context_->run_for(step_time);
        }
    }

    // Sends a request and has the upstream respond with these bytes.
    outcome exchange(const std::string& id, const std::string& bytes, bool in_pieces = false)
    {
        current_ = {};
        if (!peer_->is_open()) {
            acceptor_->async_accept(*peer_, [](const auto& /*error*/) {});
        }
        channel_->exchange(
            "GET / HTTP/1.1\r\nRequest-Id: " + id + "\r\n\r\n", {}, id, false, step_time,
            {.header = [this](const auto& item) { current_.headers.push_back(item); },
             .body = [this](auto text) { current_.body += text; },
             .ended = [this] { current_.has_ended = true; },
             .failed = [this](const auto& status) { current_.failure = status.code(); }});
        context_->restart();
        context_->run_for(step_time);
        const std::size_t piece = in_pieces ? 1 : bytes.size();
        for (std::size_t at = 0; at < bytes.size() && !current_.failure; at += piece) {
            boost::asio::write(*peer_, boost::asio::buffer(bytes.substr(at, piece)));
            if (in_pieces) {
                context_->restart();
                context_->run_for(piece_time);
            }
        }
        context_->restart();
        context_->run_for(step_time);
        return current_;
    }

    // The bytes arrive without an event being handled.
    static void wait_for_bytes() { std::this_thread::sleep_for(step_time); }

    std::unique_ptr<boost::asio::io_context> context_;
    std::unique_ptr<tcp::acceptor> acceptor_;
    std::shared_ptr<upstream_channel> channel_;
    std::optional<tcp::socket> peer_;
    outcome current_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_upstream_channel_test);

} // namespace snipespar::gateway
