#include "cli/endpoint.h"
#include "gateway/connect_probe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::gateway {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto connect_timeout = milliseconds(300);
constexpr auto observation_time = milliseconds(1500);

} // namespace

/// Probes of loopback listeners that nobody accepts from, as in a process that is ending.
class gateway_connect_probe_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_connect_probe_test);
    CPPUNIT_TEST(closed_port_is_reported);
    CPPUNIT_TEST(listening_process_is_not_reported);
    CPPUNIT_TEST(process_that_is_still_ending_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void closed_port_is_reported()
    {
        acceptor_.close();
        CPPUNIT_ASSERT(is_reported());
    }

    void listening_process_is_not_reported() { CPPUNIT_ASSERT(!is_reported()); }

    // Guards against crashes that are missed: the kernel may close a request's connection before
    // the listener, so that a probe is still accepted.
    void process_that_is_still_ending_is_reported()
    {
        boost::asio::steady_timer timer(context_, milliseconds(20));
        timer.async_wait([this](const auto& /*error*/) { acceptor_.close(); });
        CPPUNIT_ASSERT(is_reported());
    }

private:
    bool is_reported()
    {
        bool is_refused = false;
        probe_connect(context_.get_executor(), address_, connect_timeout,
                      [&is_refused] { is_refused = true; });
        context_.run_for(observation_time);
        return is_refused;
    }

    boost::asio::io_context context_;
    tcp::acceptor acceptor_{context_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    cli::endpoint address_{"127.0.0.1", acceptor_.local_endpoint().port()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_connect_probe_test);

} // namespace snipespar::gateway
