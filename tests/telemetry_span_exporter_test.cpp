#include "telemetry/span_exporter.h"

#include "telemetry/counter.h"
#include "telemetry/metrics_registry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <string>
#include <thread>

namespace snipespar::telemetry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

span make_span(const std::string& name)
{
    span item;
    item.name = name;
    return item;
}

// Receives one export on its own thread and responds to it.
class receiver {
public:
    receiver()
        : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
          thread_([this] { serve_one(); })
    {
    }

    ~receiver() { join(); }
    receiver(const receiver&) = delete;
    receiver& operator=(const receiver&) = delete;

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }

    std::string body()
    {
        join();
        return body_;
    }

private:
    void join()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    void serve_one()
    {
        tcp::socket socket(context_);
        acceptor_.accept(socket);
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::read(socket, buffer, request);
        body_ = request.body();
        http::response<http::string_body> response(http::status::ok, request.version());
        response.prepare_payload();
        http::write(socket, response);
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::string body_;
    std::thread thread_;
};

// An exporter on an executor run by the test.
struct fixture {
    explicit fixture(const tcp::endpoint& address, span_exporter_limits limits)
        : exporter(context.get_executor(), address, {"entry", "h1", "z1"}, metrics, limits),
          dropped(metrics.make_counter("snipespar_spans_dropped_total", "")),
          exported(metrics.make_counter("snipespar_spans_exported_total", ""))
    {
    }

    // Runs the exporter until it has sent or dropped the queued spans.
    void run_to_end()
    {
        asio::co_spawn(context, exporter.run(), asio::detached);
        exporter.stop();
        context.run();
    }

    asio::io_context context;
    metrics_registry metrics;
    span_exporter exporter;
    counter& dropped;
    counter& exported;
};

} // namespace

class telemetry_span_exporter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(telemetry_span_exporter_test);
    CPPUNIT_TEST(queued_spans_reach_the_receiver);
    CPPUNIT_TEST(spans_are_dropped_when_nobody_listens);
    CPPUNIT_TEST(spans_are_dropped_when_the_receiver_is_unresponsive);
    CPPUNIT_TEST(full_queue_drops_instead_of_blocking);
    CPPUNIT_TEST_SUITE_END();

public:
    void queued_spans_reach_the_receiver()
    {
        receiver trace_receiver;
        fixture test(trace_receiver.address(), {});
        test.exporter.record(make_span("first"));
        test.exporter.record(make_span("second"));
        test.run_to_end();
        const auto body = trace_receiver.body();
        CPPUNIT_ASSERT(body.find("first") != std::string::npos);
        CPPUNIT_ASSERT(body.find("second") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, test.exported.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, test.dropped.value());
    }

    void spans_are_dropped_when_nobody_listens()
    {
        // A bound socket that does not listen keeps the port from being taken by others.
        asio::io_context context;
        tcp::socket holder(context, {asio::ip::address_v4::loopback(), 0});
        fixture test(holder.local_endpoint(), {});
        test.exporter.record(make_span("lost"));
        test.run_to_end();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, test.dropped.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, test.exported.value());
    }

    void spans_are_dropped_when_the_receiver_is_unresponsive()
    {
        asio::io_context context;
        const tcp::acceptor unresponsive(context, {asio::ip::address_v4::loopback(), 0});
        span_exporter_limits limits;
        limits.export_timeout = std::chrono::milliseconds(50);
        fixture test(unresponsive.local_endpoint(), limits);
        test.exporter.record(make_span("lost"));
        test.run_to_end();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, test.dropped.value());
    }

    void full_queue_drops_instead_of_blocking()
    {
        span_exporter_limits limits;
        limits.max_queued_spans = 2;
        fixture test({asio::ip::address_v4::loopback(), 1}, limits);
        for (int i = 0; i < 5; ++i) {
            test.exporter.record(make_span("span"));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, test.dropped.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_span_exporter_test);

} // namespace snipespar::telemetry
