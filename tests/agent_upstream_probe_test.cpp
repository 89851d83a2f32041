#include "agent/upstream_probe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <optional>

namespace snipespar::agent {

namespace {

namespace asio = boost::asio;

/// A server that closes each connection as soon as it is accepted, and its listener after some.
class ending_server {
public:
    ending_server(asio::io_context& io, int connections)
        : acceptor_(io, {asio::ip::address_v4::loopback(), 0}), left_(connections)
    {
        accept();
    }

    upstream_address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
    void accept()
    {
        acceptor_.async_accept([this](const auto& error, asio::ip::tcp::socket /*closed*/) {
            if (!error && --left_ > 0) {
                accept();
            }
            else if (!error) {
                acceptor_.close();
            }
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    int left_;
};

} // namespace

class agent_upstream_probe_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(agent_upstream_probe_test);
    CPPUNIT_TEST(engine_that_is_ending_is_seen_as_down);
    CPPUNIT_TEST(engine_that_closes_all_connections_is_not_seen_as_down);
    CPPUNIT_TEST_SUITE_END();

    static probe_result::state state_after(int connections)
    {
        asio::io_context io;
        ending_server server(io, connections);
        const upstream_probe probe(io.get_executor(), server.address());
        std::optional<probe_result> result;
        probe.read([&](const probe_result& read) {
            result = read;
            io.stop();
        });
        io.run();
        CPPUNIT_ASSERT(result.has_value());
        return result->engine_state;
    }

public:
    // Guards against a crash that is not recorded, so that the request crashes a third engine,
    // because the ending process still accepted connections.
    void engine_that_is_ending_is_seen_as_down()
    {
        CPPUNIT_ASSERT(state_after(1) == probe_result::state::down);
        CPPUNIT_ASSERT(state_after(2) == probe_result::state::down);
        CPPUNIT_ASSERT(state_after(4) == probe_result::state::down);
    }

    void engine_that_closes_all_connections_is_not_seen_as_down()
    {
        CPPUNIT_ASSERT(state_after(100) == probe_result::state::unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_upstream_probe_test);

} // namespace snipespar::agent
