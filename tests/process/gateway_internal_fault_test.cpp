#include "gateway/caller_connection.h"
#include "gateway/gateway_context.h"
#include "net/steady_time.h"
#include "platform/config_reader.h"
#include "telemetry/logger.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace snipespar::gateway {

namespace {

using boost::asio::ip::tcp;

constexpr auto step_time = std::chrono::milliseconds(100);
constexpr std::size_t memory_limit = 64UL * 1024 * 1024;

std::shared_ptr<const fleet_config> make_config()
{
    const auto content = nlohmann::json::parse(R"({
        "version": 1,
        "routes": [{"name": "stream", "host": "a.example", "path_prefix": "/stream/",
                    "route_type": "streaming", "timeout_ms": 5000, "target_latency_ms": 500,
                    "priority": 0, "max_attempts": 3, "upstream": "llm", "public": true,
                    "resumable": true, "gap_aim_ms": 500}],
        "upstreams": [{"name": "llm", "health_check": "/health", "max_connections": 300,
                       "engine": {"slots": 64, "kv_capacity": 100000, "adapter_slots": 4,
                                  "models": [{"name": "base", "adapters": 40}]}}],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}})");
    auto config = platform::decode_config(content.dump());
    CPPUNIT_ASSERT_MESSAGE(std::string(config.status().message()), config.ok());
    return *std::move(config);
}

} // namespace

/// A gateway one of whose parts fails while it handles a request.
class gateway_internal_fault_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_internal_fault_test);
    CPPUNIT_TEST(request_that_was_not_sent_is_refused);
    CPPUNIT_TEST(request_that_may_have_run_is_a_failure);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that a fault of the gateway leaves without an answer.
    void request_that_was_not_sent_is_refused()
    {
        gateway_context context(io_.get_executor(), failure_domain_id("a"), 1, 1,
                                std::chrono::seconds(8), memory_limit, log_);
        context.send_demand = [](const auto& /*upstream*/) { throw std::runtime_error("demand"); };
        const auto answer = answer_of(context, "base/a1");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
    }

    // Guards against "not run" for a request that was sent before a fault of the gateway.
    void request_that_may_have_run_is_a_failure()
    {
        gateway_context context(io_.get_executor(), failure_domain_id("a"), 1, 1,
                                std::chrono::seconds(8), memory_limit, log_);
        context.send_demand = [](const auto& /*upstream*/) {};
        context.send_to_sidecar = [](const auto& /*upstream*/, const auto& /*message*/) {
            throw std::runtime_error("sidecar");
        };
        const auto answer = answer_of(context, "base");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502 "));
    }

private:
    // Sends one request for the model on a new connection and returns what arrives.
    std::string answer_of(gateway_context& context, const std::string& model)
    {
        const auto loopback = boost::asio::ip::make_address("127.0.0.1");
        tcp::acceptor upstream(io_, tcp::endpoint(loopback, 0));
        tcp::acceptor listener(io_, tcp::endpoint(loopback, 0));
        context.config = make_config();
        upstream_entry entry;
        entry.id = upstream_id("i-1");
        entry.service = "llm";
        entry.address = {"127.0.0.1", upstream.local_endpoint().port()};
        context.upstreams.replace({entry}, steady_now());
        tcp::socket caller(io_);
        caller.connect(listener.local_endpoint());
        const auto connection = std::make_shared<caller_connection>(listener.accept(), context);
        connection->start();
        boost::asio::write(caller,
                           boost::asio::buffer("POST /stream/x HTTP/1.1\r\nHost: a.example\r\n"
                                               "Request-Id: r1\r\nToken-Count: 10,2\r\nModel: " +
                                               model + "\r\nContent-Length: 0\r\n\r\n"));
        io_.run_for(step_time);
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        caller.non_blocking(true);
        const auto count = caller.read_some(boost::asio::buffer(bytes), error);
        context.exchanges.clear();
        return {bytes.data(), count};
    }

    boost::asio::io_context io_;
    telemetry::logger log_{[](std::string_view /*line*/) {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_internal_fault_test);

} // namespace snipespar::gateway
