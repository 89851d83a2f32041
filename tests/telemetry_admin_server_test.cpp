#include "telemetry/admin_server.h"

#include "support/http_probe.h"
#include "telemetry/logger.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace snipespar::telemetry {

using testing::http_call;
using testing::http_reply;

class telemetry_admin_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(telemetry_admin_server_test);
    CPPUNIT_TEST(each_path_answers);
    CPPUNIT_TEST(unready_process_says_why);
    CPPUNIT_TEST(other_methods_and_paths_are_refused);
    CPPUNIT_TEST(malformed_request_is_refused_and_the_server_continues);
    CPPUNIT_TEST(query_is_answered_where_it_has_a_handler);
    CPPUNIT_TEST(taken_port_is_an_error);
    CPPUNIT_TEST(failing_handler_ends_its_request_only);
    CPPUNIT_TEST(idle_connections_do_not_keep_a_probe_out);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        context_ = std::make_unique<boost::asio::io_context>();
        auto made = make();
        CPPUNIT_ASSERT(made.ok());
        server_ = *std::move(made);
        address_ = {"127.0.0.1", server_->local_endpoint().port()};
        thread_ = std::thread([this] { context_->run(); });
    }

    void tearDown() override
    {
        boost::asio::post(*context_, [this] { server_.reset(); });
        thread_.join();
        context_.reset();
    }

    void each_path_answers()
    {
        CPPUNIT_ASSERT_EQUAL(200U, get("/livez").status);
        CPPUNIT_ASSERT_EQUAL(200U, get("/readyz").status);
        const auto metrics = get("/metrics?name=x");
        CPPUNIT_ASSERT_EQUAL(std::string("a_total 1\n"), metrics.body);
        CPPUNIT_ASSERT(metrics.header("content-type").starts_with("text/plain; version=0.0.4"));
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), get("/status").body);
        CPPUNIT_ASSERT_EQUAL(std::string(), call("HEAD", "/status").body);
    }

    void unready_process_says_why()
    {
        boost::asio::post(*context_, [this] { readiness_ = {false, "no configuration"}; });
        const auto reply = get("/readyz");
        CPPUNIT_ASSERT_EQUAL(503U, reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not ready: no configuration\n"), reply.body);
        CPPUNIT_ASSERT_EQUAL(200U, get("/livez").status);
    }

    void other_methods_and_paths_are_refused()
    {
        CPPUNIT_ASSERT_EQUAL(404U, get("/").status);
        CPPUNIT_ASSERT_EQUAL(404U, get("/metrics/x").status);
        CPPUNIT_ASSERT_EQUAL(405U, call("POST", "/metrics").status);
    }

    void malformed_request_is_refused_and_the_server_continues()
    {
        CPPUNIT_ASSERT(
            testing::send_bytes(address_, "rubbish\r\n\r\n").starts_with("HTTP/1.1 400"));
        const std::string endless = "GET / HTTP/1.1\r\nA: " + std::string(1 << 16U, 'a');
        CPPUNIT_ASSERT(testing::send_bytes(address_, endless).find(" 200 ") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(200U, get("/livez").status);
    }

    void query_is_answered_where_it_has_a_handler()
    {
        const auto reply = get("/explain?a=1&b=%20?");
        CPPUNIT_ASSERT_EQUAL(404U, reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("a=1&b=%20?"), reply.body);
        CPPUNIT_ASSERT_EQUAL(std::string("application/json"), reply.header("content-type"));
        CPPUNIT_ASSERT_EQUAL(std::string(), get("/explain").body);
    }

    void taken_port_is_an_error()
    {
        boost::asio::io_context context;
        const auto second =
            admin_server::make(context.get_executor(), server_->local_endpoint(), {}, {});
        CPPUNIT_ASSERT(!second.ok());
    }

    // Guards against a connection that is dropped without an answer and remembered for ever.
    void failing_handler_ends_its_request_only()
    {
        status_fails_ = true;
        const auto reply = testing::send_call(address_, {"GET", "/status", {}, {}});
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT_EQUAL(500U, reply->status);
        CPPUNIT_ASSERT_EQUAL(200U, get("/livez").status);
    }

    // Guards against a process that counts as dead because idle connections take all places.
    void idle_connections_do_not_keep_a_probe_out()
    {
        constexpr int connections = 100;
        boost::asio::io_context context;
        std::vector<boost::asio::ip::tcp::socket> idle;
        idle.reserve(connections);
        for (int i = 0; i < connections; ++i) {
            idle.emplace_back(context).connect(server_address());
        }
        CPPUNIT_ASSERT_EQUAL(200U, get("/livez").status);
        CPPUNIT_ASSERT_EQUAL(200U, get("/ready").status);
    }

private:
    boost::asio::ip::tcp::endpoint server_address() const
    {
        return {boost::asio::ip::address_v4::loopback(), address_.port};
    }

    std::string status() const
    {
        if (status_fails_) {
            throw std::runtime_error("a text that is not UTF-8");
        }
        return "{}";
    }

    absl::StatusOr<std::unique_ptr<admin_server>> make()
    {
        const boost::asio::ip::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        return admin_server::make(
            context_->get_executor(), any,
            {.metrics = [] { return std::string("a_total 1\n"); },
             .ready = [this] { return readiness_; },
             .status = [this] { return status(); },
             .explain =
                 [](std::string_view query) { return query_answer{404, std::string(query)}; }},
            {});
    }

    http_reply call(const std::string& method, const std::string& target)
    {
        http_call request;
        request.method = method;
        request.target = target;
        auto reply = testing::send_call(address_, request);
        CPPUNIT_ASSERT(reply.ok());
        return *std::move(reply);
    }

    http_reply get(const std::string& target) { return call("GET", target); }

    std::unique_ptr<boost::asio::io_context> context_;
    readiness readiness_{true, ""};
    std::atomic<bool> status_fails_ = false;
    std::unique_ptr<admin_server> server_;
    cli::endpoint address_;
    std::thread thread_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_admin_server_test);

} // namespace snipespar::telemetry
